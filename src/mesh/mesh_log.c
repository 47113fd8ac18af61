#include "mesh/mesh_parts.h"

#include <stdarg.h>

/* Return the time from THEN to NOW in milliseconds, or -1 if THEN is 0, which
   stands for never.  */
gint64
mesh_age_msec (gint64 then, gint64 now)
{
  return then != 0 ? (now - then) / USEC_PER_MSEC : -1;
}

/* Add a log event on SUBJECT, the id of a request or a name, with its fields
   formatted by FORMAT.  The result is valid until the next action is
   added.  */
struct log_event *
mesh_log (struct actions *out, enum log_event_id id, const char *subject,
          const char *format, ...)
{
  struct log_event *event = &actions_add (out, ACTION_LOG_EVENT)->u.log_event;
  va_list arguments;

  event->id = id;
  g_strlcpy (event->text, subject, sizeof event->text);
  va_start (arguments, format);
  g_vsnprintf (event->detail, sizeof event->detail, format, arguments);
  va_end (arguments);
  return event;
}
