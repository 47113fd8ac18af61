#include "tool/tool.h"

#include "tool/record_line.h"
#include "wire/wire_record.h"

#include <stdio.h>

#define READ_MAX_RECORDS 500 /* records in one answer */

/* Print the records of ENTRIES, a line or a JSON object each.  */
static void
print_entries (const struct tool *tool, const GArray *entries)
{
  guint i;

  for (i = 0; i < entries->len; i++)
    {
      const struct log_entry *entry
          = &g_array_index (entries, struct log_entry, i);
      char *line = tool->json_output
                       ? record_line_json (entry->offset, &entry->record)
                       : record_line_text (entry->offset, &entry->record);
      printf ("%s\n", line);
      g_free (line);
    }
}

/* Read and print one batch from FROM on, which moves to what is to be read
   next; MORE is cleared at the tail.  */
static enum err
read_batch (const struct tool *tool, guint64 *from, gboolean *more)
{
  GArray *entries = g_array_new (FALSE, FALSE, sizeof (struct log_entry));
  char *target
      = g_strdup_printf ("/streams/%s?from=%" G_GUINT64_FORMAT "&max=%d",
                         tool->stream, *from, READ_MAX_RECORDS);
  struct tool_response answer;
  enum err code;

  tool_request (&answer, tool->log_address, "GET", target, NULL, 0,
                tool->timeout_usec);
  code = answer.code;
  if (code == ERR_NONE && answer.status == SOUP_STATUS_GONE)
    *from = MAX (answer.first_offset, *from + 1);
  else if (code == ERR_NONE && answer.status != SOUP_STATUS_OK)
    code = ERR_UNAVAILABLE;
  else if (code == ERR_NONE)
    {
      code = record_decode_frames (entries, (const guint8 *)answer.body->str,
                                   answer.body->len);
      print_entries (tool, entries);
      if (entries->len > 0)
        *from = g_array_index (entries, struct log_entry, entries->len - 1)
                    .offset
                + 1;
      *more = entries->len > 0 && *from < answer.end_offset;
    }
  log_entries_clear (entries);
  g_array_free (entries, TRUE);
  tool_response_clear (&answer);
  g_free (target);
  return code;
}

/* List the records that the log retains: log.  */
int
tool_log (const struct tool *tool)
{
  guint64 from = 1;
  gboolean more = TRUE;
  enum err code = ERR_NONE;

  while (more && code == ERR_NONE)
    code = read_batch (tool, &from, &more);
  if (code == ERR_NONE)
    return TOOL_OK;
  tool_print_error (tool, "log", code);
  return TOOL_UNREACHABLE;
}
