#include "tool/tool.h"
#include "types/clock.h"
#include "wire/wire_record.h"

#include <sys/random.h>

/* A random number, as the writer of an operator's record.  */
guint64
tool_random_id (void)
{
  guint64 value = 0;

  if (getrandom (&value, sizeof value, 0) < 0 || value == 0)
    value = (guint64)clock_usec ();
  return value;
}

/* Append RECORD to the log.  Return ERR_NONE with the offset it stands at,
   ERR_INDETERMINATE if it may stand there, ERR_REFUSED or ERR_UNAVAILABLE if
   it does not, and ERR_TOO_LARGE.  */
enum err
tool_append (const struct tool *tool, const struct record *record,
             guint64 *offset)
{
  char *target = g_strdup_printf ("/streams/%s", tool->stream);
  GByteArray *bytes = record_encode (record);
  struct tool_response answer;
  enum err code = ERR_TOO_LARGE;

  *offset = 0;
  if (bytes != NULL)
    {
      tool_request (&answer, tool->log_address, "POST", target, bytes->data,
                    bytes->len, tool->timeout_usec);
      if (answer.code != ERR_NONE)
        code = answer.was_sent ? ERR_INDETERMINATE : ERR_REFUSED;
      else if (answer.status == SOUP_STATUS_OK)
        code = ERR_NONE;
      else
        code = answer.status == SOUP_STATUS_SERVICE_UNAVAILABLE
                   ? ERR_UNAVAILABLE
                   : ERR_INDETERMINATE;
      if (code == ERR_NONE)
        *offset = g_ascii_strtoull (answer.body->str, NULL, 10);
      tool_response_clear (&answer);
      g_byte_array_unref (bytes);
    }
  g_free (target);
  return code;
}
