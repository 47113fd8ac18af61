#include "tool/tool.h"
#include "types/clock.h"

#include "decide/config_read.h"
#include "tool/publish_outcome.h"

#include <stdio.h>
#include <string.h>

#define READ_BACK_EVERY_USEC 100000         /* the node is asked so often */
#define RESEND_AFTER_USEC ((gint64)1500000) /* after a lost answer */
#define RETRY_AFTER_USEC ((gint64)300000)   /* after a refusal */

/* A publication under way.  */
struct publish
{
  const struct tool *tool;    /* the command line */
  struct record record;       /* what is appended; text is not owned */
  struct publish_query query; /* what is known of it */
  guint64 accepted_offset;    /* where it was accepted */
  gint64 deadline;            /* when to give up, monotonic usec */
};

/* Add the faults of TEXT, also against BEFORE, the one in force.  */
static void
find_faults (const struct tool *tool, const char *text, const char *before,
             GArray *errors)
{
  GArray *ignored = g_array_new (FALSE, TRUE, sizeof (struct config_error));
  struct config config;
  struct config old;

  config_read (&config, tool->args[1], text, errors);
  config_read (&old, "log", before, ignored);
  config_compare (&old, &config, tool->args[1], errors);
  config_clear (&config);
  config_clear (&old);
  g_array_free (ignored, TRUE);
}

/* Ask the node which configuration is in force.  */
static enum err
ask_config (const struct tool *tool, struct tool_response *answer)
{
  tool_request (answer, tool->node_address, "GET", "/bambootally/config", NULL,
                0, tool->timeout_usec);
  if (answer->code != ERR_NONE)
    return answer->code;
  return answer->status == SOUP_STATUS_OK ? ERR_NONE : ERR_UNAVAILABLE;
}

/* Ask the node until UNTIL what became of the record.  */
static enum publish_outcome
read_back (struct publish *publish, gint64 until)
{
  enum publish_outcome found = PUBLISH_OUTCOME_PENDING;

  while (found == PUBLISH_OUTCOME_PENDING && clock_usec () < until)
    {
      struct tool_response answer;
      if (ask_config (publish->tool, &answer) == ERR_NONE)
        {
          publish->query.applied_offset = answer.next_offset;
          found = publish_outcome_find (&publish->query, answer.config_history,
                                        &publish->accepted_offset);
        }
      tool_response_clear (&answer);
      if (found == PUBLISH_OUTCOME_PENDING)
        g_usleep (READ_BACK_EVERY_USEC);
    }
  return found;
}

/* Append the record until it is known what became of it.  The same record may
   stand on the log several times: only one of them can be accepted.  Return
   the error of the last append.  */
static enum err
append_until_known (struct publish *publish, enum publish_outcome *found)
{
  gboolean unsure = FALSE;
  enum err code;

  do
    {
      guint64 offset = 0;
      gint64 now;
      code = tool_append (publish->tool, &publish->record, &offset);
      if (code == ERR_TOO_LARGE
          || (code != ERR_NONE && code != ERR_INDETERMINATE && !unsure))
        return code;
      unsure = unsure || code == ERR_INDETERMINATE;
      publish->query.record_offset
          = MAX (publish->query.record_offset, offset);
      now = clock_usec ();
      *found = read_back (
          publish, code == ERR_NONE
                       ? publish->deadline
                       : MIN (now + RESEND_AFTER_USEC, publish->deadline));
    }
  while (*found == PUBLISH_OUTCOME_PENDING
         && clock_usec () < publish->deadline);
  return ERR_NONE;
}

/* Say what became of the record and return the exit status.  */
static int
report (const struct publish *publish, enum publish_outcome found)
{
  const struct tool *tool = publish->tool;

  switch (found)
    {
    case PUBLISH_OUTCOME_ACCEPTED:
      printf (tool->json_output
                  ? "{\"accepted\":true,\"offset\":%" G_GUINT64_FORMAT "}\n"
                  : "accepted: in force at offset %" G_GUINT64_FORMAT "\n",
              publish->accepted_offset);
      return TOOL_OK;
    case PUBLISH_OUTCOME_CONFLICT:
      tool_print_error (tool, "another configuration came first",
                        ERR_CONFLICT);
      return TOOL_CONFLICT;
    case PUBLISH_OUTCOME_REJECTED:
      tool_print_error (tool, "not taken by the nodes", ERR_INVALID);
      return TOOL_INVALID;
    case PUBLISH_OUTCOME_PENDING:
      break;
    }
  tool_print_error (tool, "not read back yet", ERR_INDETERMINATE);
  return TOOL_INDETERMINATE;
}

/* Publish TEXT, made from the configuration in force that ANSWER tells.  */
static int
publish_text (const struct tool *tool, char *text,
              const struct tool_response *answer)
{
  struct publish publish = { .tool = tool };
  enum publish_outcome found = PUBLISH_OUTCOME_PENDING;
  enum err code;

  publish.deadline = clock_usec () + tool->timeout_usec;
  publish.record.version = RECORD_VERSION;
  publish.record.kind = RECORD_CONFIG;
  publish.record.writer = tool_random_id ();
  publish.record.serial = 1;
  publish.record.body.config.base_offset = answer->config_offset;
  publish.record.body.config.text = text;
  g_strlcpy (publish.record.body.config.author, tool->author, NAME_SIZE);
  publish.query.writer = publish.record.writer;
  publish.query.serial = publish.record.serial;
  publish.query.base_offset = answer->config_offset;
  code = append_until_known (&publish, &found);
  if (code == ERR_NONE)
    return report (&publish, found);
  tool_print_error (tool, "publish", code);
  return code == ERR_TOO_LARGE ? TOOL_INVALID : TOOL_UNREACHABLE;
}

/* Publish a configuration file: publish FILE.  It is checked as a set and
   against the configuration that the node has in force; with a fault nothing
   is appended.  */
int
tool_publish (const struct tool *tool)
{
  GArray *errors = g_array_new (FALSE, TRUE, sizeof (struct config_error));
  struct tool_response answer = { 0 };
  char *text = NULL;
  enum err code = ERR_NONE;
  int status = TOOL_INVALID;

  if (!g_file_get_contents (tool->args[1], &text, NULL, NULL))
    g_strlcpy (config_error_add (errors, CONFIG_ERROR_FILE)->file,
               tool->args[1], PATH_SIZE);
  else
    {
      code = ask_config (tool, &answer);
      find_faults (tool, text, answer.body->str, errors);
    }
  if (errors->len > 0)
    tool_print_config_errors (tool, errors);
  else if (code != ERR_NONE)
    {
      tool_print_error (tool, "node", code);
      status = TOOL_UNREACHABLE;
    }
  else
    status = publish_text (tool, text, &answer);
  if (answer.body != NULL)
    tool_response_clear (&answer);
  g_array_free (errors, TRUE);
  g_free (text);
  return status;
}
