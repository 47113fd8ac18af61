#include "tool/tool.h"
#include "types/clock.h"

#include "decide/config_read.h"
#include "tool/publish_outcome.h"

#include <stdio.h>
#include <string.h>

#define QUERY_INTERVAL_USEC 100000 /* interval of configuration queries */
/* Wait before a record is sent again whose answer was lost.  */
#define RESEND_AFTER_USEC ((gint64)1500000)
#define RETRY_AFTER_USEC ((gint64)300000) /* wait after a refused append */

/* The state of a publish command.  */
struct publish
{
  const struct tool *tool;    /* the command line */
  struct record record;       /* the appended record; its text is not owned */
  struct publish_query query; /* what is known about the record */
  guint64 accepted_offset;    /* offset at which the record was accepted */
  gint64 deadline;            /* when to give up, monotonic microseconds */
};

/* Adds to ERRORS the errors in TEXT, also those against CURRENT, the
   configuration in force.  */
static void
find_errors (const struct tool *tool, const char *text, const char *current,
             GArray *errors)
{
  GArray *ignored = g_array_new (FALSE, TRUE, sizeof (struct config_error));
  struct config config;
  struct config old;

  config_read (&config, tool->args[1], text, errors);
  config_read (&old, "log", current, ignored);
  config_compare (&old, &config, tool->args[1], errors);
  config_clear (&config);
  config_clear (&old);
  g_array_free (ignored, TRUE);
}

/* Fetches the configuration in force from the node.  */
static enum err
fetch_config (const struct tool *tool, struct tool_response *response)
{
  tool_request (response, tool->node_address, "GET", "/bambootally/config",
                NULL, 0, tool->timeout_usec);
  if (response->code != ERR_NONE)
    return response->code;
  return response->status == SOUP_STATUS_OK ? ERR_NONE : ERR_UNAVAILABLE;
}

/* Queries the node until UNTIL for the outcome of the record.  */
static enum publish_outcome
wait_for_outcome (struct publish *publish, gint64 until)
{
  enum publish_outcome outcome = PUBLISH_OUTCOME_PENDING;

  while (outcome == PUBLISH_OUTCOME_PENDING && clock_usec () < until)
    {
      struct tool_response response;
      if (fetch_config (publish->tool, &response) == ERR_NONE)
        {
          publish->query.applied_offset = response.next_offset;
          outcome
              = publish_outcome_find (&publish->query, response.config_history,
                                      &publish->accepted_offset);
        }
      tool_response_clear (&response);
      if (outcome == PUBLISH_OUTCOME_PENDING)
        g_usleep (QUERY_INTERVAL_USEC);
    }
  return outcome;
}

/* Appends the record until its outcome is known.  The log may contain the same
   record several times: only one of them can be accepted.  Returns ERR_NONE
   with the OUTCOME, or the error of an append if no append can have taken
   effect.  */
static enum err
append_until_known (struct publish *publish, enum publish_outcome *outcome)
{
  gboolean indeterminate = FALSE;
  enum err code;

  do
    {
      guint64 offset = 0;
      gint64 now;
      code = tool_append (publish->tool, &publish->record, &offset);
      if (code == ERR_TOO_LARGE
          || (code != ERR_NONE && code != ERR_INDETERMINATE && !indeterminate))
        return code;
      indeterminate = indeterminate || code == ERR_INDETERMINATE;
      publish->query.record_offset
          = MAX (publish->query.record_offset, offset);
      now = clock_usec ();
      *outcome = wait_for_outcome (
          publish, code == ERR_NONE
                       ? publish->deadline
                       : MIN (now + RESEND_AFTER_USEC, publish->deadline));
    }
  while (*outcome == PUBLISH_OUTCOME_PENDING
         && clock_usec () < publish->deadline);
  return ERR_NONE;
}

/* Prints the outcome of the record and returns the exit status.  */
static int
print_outcome (const struct publish *publish, enum publish_outcome outcome)
{
  const struct tool *tool = publish->tool;

  switch (outcome)
    {
    case PUBLISH_OUTCOME_ACCEPTED:
      printf (tool->json_output
                  ? "{\"accepted\":true,\"offset\":%" G_GUINT64_FORMAT "}\n"
                  : "accepted: in force at offset %" G_GUINT64_FORMAT "\n",
              publish->accepted_offset);
      return TOOL_OK;
    case PUBLISH_OUTCOME_CONFLICT:
      tool_print_error (tool, "another configuration was accepted first",
                        ERR_CONFLICT);
      return TOOL_CONFLICT;
    case PUBLISH_OUTCOME_REJECTED:
      tool_print_error (tool, "rejected by the nodes", ERR_INVALID);
      return TOOL_INVALID;
    case PUBLISH_OUTCOME_PENDING:
      break;
    }
  tool_print_error (tool, "appended, but the node has not confirmed it yet",
                    ERR_INDETERMINATE);
  return TOOL_INDETERMINATE;
}

/* Publishes TEXT, based on the configuration in force that RESPONSE
   describes.  */
static int
publish_text (const struct tool *tool, char *text,
              const struct tool_response *response)
{
  struct publish publish = { .tool = tool };
  enum publish_outcome outcome = PUBLISH_OUTCOME_PENDING;
  enum err code;

  publish.deadline = clock_usec () + tool->timeout_usec;
  publish.record.version = RECORD_VERSION;
  publish.record.kind = RECORD_CONFIG;
  publish.record.writer = tool_random_id ();
  publish.record.serial = 1;
  publish.record.body.config.base_offset = response->config_offset;
  publish.record.body.config.text = text;
  g_strlcpy (publish.record.body.config.author, tool->author, NAME_SIZE);
  publish.query.writer = publish.record.writer;
  publish.query.serial = publish.record.serial;
  publish.query.base_offset = response->config_offset;
  code = append_until_known (&publish, &outcome);
  if (code == ERR_NONE)
    return print_outcome (&publish, outcome);
  tool_print_error (tool, "publish", code);
  return code == ERR_TOO_LARGE ? TOOL_INVALID : TOOL_UNREACHABLE;
}

/* Publishes a configuration file: publish FILE.  The file is validated by
   itself and against the configuration in force at the node.  With an error
   nothing is appended.  */
int
tool_publish (const struct tool *tool)
{
  GArray *errors = g_array_new (FALSE, TRUE, sizeof (struct config_error));
  struct tool_response response = { 0 };
  char *text = NULL;
  enum err code = ERR_NONE;
  int status = TOOL_INVALID;

  if (!g_file_get_contents (tool->args[1], &text, NULL, NULL))
    g_strlcpy (config_error_add (errors, CONFIG_ERROR_FILE)->file,
               tool->args[1], PATH_SIZE);
  else
    {
      code = fetch_config (tool, &response);
      find_errors (tool, text, response.body->str, errors);
    }
  if (errors->len > 0)
    tool_print_config_errors (tool, errors);
  else if (code != ERR_NONE)
    {
      tool_print_error (tool, "node", code);
      status = TOOL_UNREACHABLE;
    }
  else
    status = publish_text (tool, text, &response);
  if (response.body != NULL)
    tool_response_clear (&response);
  g_array_free (errors, TRUE);
  g_free (text);
  return status;
}
