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
struct note *
mesh_log (struct actions *out, enum note_id id, const char *subject,
           const char *format, ...)
{
  struct note *note = &actions_add (out, ACTION_NOTE)->u.note;
  va_list arguments;

  note->id = id;
  g_strlcpy (note->text, subject, sizeof note->text);
  va_start (arguments, format);
  g_vsnprintf (note->detail, sizeof note->detail, format, arguments);
  va_end (arguments);
  return note;
}
