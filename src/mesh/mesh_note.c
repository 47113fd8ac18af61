#include "mesh/mesh_parts.h"

#include <stdarg.h>

/* Add a note on SUBJECT, a request's id or a name, with its inputs written as
   FORMAT has them; good until the next action.  */
struct note *
mesh_note (struct actions *out, enum note_id id, const char *subject,
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
