#include "mesh/mesh_parts.h"

#include <stdarg.h>

/* Return how long before NOW the time THEN was, in milliseconds; -1 if THEN is
   0, that is, never.  */
gint64
mesh_age_msec (gint64 then, gint64 now)
{
  return then != 0 ? (now - then) / USEC_PER_MSEC : -1;
}

/* Add a log event on SUBJECT, the id of a request or a name, with its fields
   written as FORMAT says.  The result is valid until the next action is
   added.  */
struct log_event *
mesh_log (struct actions *out, enum log_event_id id, const char *subject,
          const char *format, ...)
{
  struct log_event *log_event
      = &actions_add (out, ACTION_LOG_EVENT)->u.log_event;
  va_list arguments;

  log_event->id = id;
  g_strlcpy (log_event->text, subject, sizeof log_event->text);
  va_start (arguments, format);
  g_vsnprintf (log_event->detail, sizeof log_event->detail, format, arguments);
  va_end (arguments);
  return log_event;
}
