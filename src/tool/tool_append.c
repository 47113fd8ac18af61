#include "tool/tool.h"
#include "types/clock.h"
#include "wire/wire_record.h"

#include <sys/random.h>

/* Returns a random number to identify the writer of an operator's record.  */
guint64
tool_random_id (void)
{
  guint64 value = 0;

  if (getrandom (&value, sizeof value, 0) < 0 || value == 0)
    value = (guint64)clock_usec ();
  return value;
}

/* Appends RECORD to the log.  Returns ERR_NONE and its OFFSET,
   ERR_INDETERMINATE if the record may have been appended, ERR_REFUSED or
   ERR_UNAVAILABLE if it was not, or ERR_TOO_LARGE.  */
enum err
tool_append (const struct tool *tool, const struct record *record,
             guint64 *offset)
{
  char *target = g_strdup_printf ("/streams/%s", tool->stream);
  GByteArray *bytes = record_encode (record);
  struct tool_response response;
  enum err code = ERR_TOO_LARGE;

  *offset = 0;
  if (bytes != NULL)
    {
      tool_request (&response, tool->log_address, "POST", target, bytes->data,
                    bytes->len, tool->timeout_usec);
      if (response.code != ERR_NONE)
        code = response.was_sent ? ERR_INDETERMINATE : ERR_REFUSED;
      else if (response.status == SOUP_STATUS_OK)
        code = ERR_NONE;
      else
        code = response.status == SOUP_STATUS_SERVICE_UNAVAILABLE
                   ? ERR_UNAVAILABLE
                   : ERR_INDETERMINATE;
      if (code == ERR_NONE)
        *offset = g_ascii_strtoull (response.body->str, NULL, 10);
      tool_response_clear (&response);
      g_byte_array_unref (bytes);
    }
  g_free (target);
  return code;
}
