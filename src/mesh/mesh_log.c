#include "mesh/mesh_parts.h"

#include <stdarg.h>

/* How long before NOW something was at THEN, in milliseconds; -1 if it never
   was.  */
gint64
mesh_age_msec (gint64 then, gint64 now)
{
  return then != 0 ? (now - then) / USEC_PER_MSEC : -1;
}

/* Add a note on SUBJECT, a request's id or a name, with its inputs written as
   FORMAT has them; good until the next action.  */
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
