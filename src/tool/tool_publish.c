#include "tool/tool.h"

#include "decide/config_read.h"
#include "wire/wire_record.h"

#include <stdio.h>
#include <string.h>
#include <sys/random.h>

#define READ_BACK_EVERY_USEC 100000 /* the node is asked so often */

/* Check the text as a set, and print its faults.  */
static gboolean
has_faults (const struct tool *tool, const char *text)
{
  GArray *faults = g_array_new (FALSE, TRUE, sizeof (struct fault));
  struct config config;
  gboolean found;

  config_read (&config, tool->words[1], text, faults);
  config_clear (&config);
  found = faults->len > 0;
  if (found)
    tool_print_faults (tool, faults);
  g_array_free (faults, TRUE);
  return found;
}

/* Append the configuration that was made from the one at BASE.  Return
   ERR_NONE with the offset it stands at.  */
static enum err
append (const struct tool *tool, char *text, guint64 base, guint64 *offset)
{
  struct record record
      = { .version = RECORD_VERSION, .kind = RECORD_CONFIG, .serial = 1 };
  char *target = g_strdup_printf ("/streams/%s", tool->stream);
  struct tool_answer answer;
  GByteArray *bytes;
  enum err code;

  if (getrandom (&record.writer, sizeof record.writer, 0) < 0)
    record.writer = (guint64)g_get_monotonic_time ();
  record.body.config.base = base;
  record.body.config.text = text;
  g_strlcpy (record.body.config.author, tool->author,
             sizeof record.body.config.author);
  bytes = record_encode (&record);
  if (bytes == NULL)
    {
      g_free (target);
      return ERR_TOO_LARGE;
    }
  tool_ask (&answer, tool->log, "POST", target, bytes->data, bytes->len,
            tool->timeout_usec);
  code = answer.code;
  if (code != ERR_NONE)
    code = answer.sent ? ERR_EFFECT : ERR_REFUSED;
  else if (answer.status != SOUP_STATUS_OK)
    code = ERR_UNAVAILABLE;
  *offset = g_ascii_strtoull (answer.body->str, NULL, 10);
  tool_answer_clear (&answer);
  g_byte_array_unref (bytes);
  g_free (target);
  return code;
}

/* Ask the node which configuration is in force.  */
static enum err
ask_config (const struct tool *tool, guint64 *offset, char **text)
{
  struct tool_answer answer;
  enum err code;

  tool_ask (&answer, tool->node, "GET", "/bambootally/config", NULL, 0,
            tool->timeout_usec);
  code = answer.code;
  *offset = answer.config;
  *text = g_strdup (answer.body->str);
  tool_answer_clear (&answer);
  return code;
}

/* Wait until the node has a later configuration than BASE in force, and tell
   whether it is TEXT.  */
static int
read_back (const struct tool *tool, const char *text, guint64 base)
{
  gint64 deadline = g_get_monotonic_time () + tool->timeout_usec;
  guint64 offset = base;
  char *found = NULL;
  gboolean ours;

  while (g_get_monotonic_time () < deadline)
    {
      g_free (found);
      found = NULL;
      if (ask_config (tool, &offset, &found) == ERR_NONE && offset > base)
        break;
      g_usleep (READ_BACK_EVERY_USEC);
    }
  ours = found != NULL && strcmp (found, text) == 0;
  g_free (found);
  if (offset <= base)
    {
      tool_print_error (tool, "not read back yet", ERR_EFFECT);
      return TOOL_UNSURE;
    }
  if (!ours)
    {
      tool_print_error (tool, "another configuration came first",
                        ERR_CONFLICT);
      return TOOL_CONFLICT;
    }
  if (tool->json)
    printf ("{\"accepted\":true,\"offset\":%" G_GUINT64_FORMAT "}\n", offset);
  else
    printf ("accepted: in force at offset %" G_GUINT64_FORMAT "\n", offset);
  return TOOL_OK;
}

/* Publish a configuration file: publish FILE.  It is checked as a set first,
   and made from the configuration that the node has in force.  */
int
tool_publish (const struct tool *tool)
{
  char *text = NULL;
  char *before = NULL;
  guint64 base = 0;
  guint64 offset = 0;
  enum err code;
  int status;

  if (!g_file_get_contents (tool->words[1], &text, NULL, NULL))
    {
      tool_print_error (tool, tool->words[1], ERR_NOT_FOUND);
      return TOOL_INVALID;
    }
  if (has_faults (tool, text))
    {
      g_free (text);
      return TOOL_INVALID;
    }
  code = ask_config (tool, &base, &before);
  if (code == ERR_NONE)
    code = append (tool, text, base, &offset);
  if (code == ERR_NONE || code == ERR_EFFECT)
    status = read_back (tool, text, base);
  else
    {
      tool_print_error (tool, "publish", code);
      status = code == ERR_TOO_LARGE ? TOOL_INVALID : TOOL_UNREACHED;
    }
  g_free (before);
  g_free (text);
  return status;
}
