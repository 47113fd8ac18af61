#include "tool/option.h"
#include "tool/tool.h"

#include <argp.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

/* The operator tool.  */

#define TIMEOUT_DEFAULT_SEC 10

/* Keys of options without a letter.  */
enum option_key
{
  OPTION_KEY = 256,
  OPTION_METHOD,
  OPTION_DEADLINE,
  OPTION_BODY
};

const char *argp_program_version = "bambootally 0.1";

static const struct argp_option options[] = {
  { "node", 'n', "IP:PORT", 0, "Address of the node to query", 0 },
  { "log", 'l', "IP:PORT", 0, "Address of the log service", 0 },
  { "stream", 's', "NAME", 0, "Stream on the log service (bambootally)", 0 },
  { "author", 'a', "NAME", 0, "Author of the configuration", 0 },
  { "json", 'j', NULL, 0, "Machine-readable output", 0 },
  { "yes", 'y', NULL, 0, "Confirm the risk of the command", 0 },
  { "timeout", 't', "SECONDS", 0, "Timeout of the whole command (10)", 0 },
  { NULL, 0, NULL, 0, "The request of explain-request:", 1 },
  { "key", OPTION_KEY, "KEY", 0, "Its key", 1 },
  { "method", OPTION_METHOD, "METHOD", 0, "Its method (GET)", 1 },
  { "deadline-ms", OPTION_DEADLINE, "N", 0, "Its deadline (30000)", 1 },
  { "body-bytes", OPTION_BODY, "N", 0, "Length of its body (0)", 1 },
  { 0 }
};

/* A command of the tool.  */
struct command
{
  const char *name;                 /* name of the command */
  guint arg_count;                  /* number of words, with the name */
  gboolean needs_node;              /* requires --node */
  gboolean needs_log;               /* requires --log */
  int (*run) (const struct tool *); /* runs the command */
};

static const struct command commands[] = {
  { "check", 2, FALSE, FALSE, tool_check },
  { "publish", 2, TRUE, TRUE, tool_publish },
  { "status", 1, TRUE, FALSE, tool_status },
  { "explain", 3, TRUE, FALSE, tool_explain },
  { "explain-request", 3, TRUE, FALSE, tool_explain_request },
  { "counters", 1, TRUE, FALSE, tool_counters },
  { "drain", 1, TRUE, FALSE, tool_drain },
  { "log", 1, FALSE, TRUE, tool_log },
  { "digest", 1, TRUE, FALSE, tool_digest },
  { "declare-dead", 2, TRUE, TRUE, tool_declare_dead },
};

/* Parses one option or argument.  */
static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct tool *tool = state->input;

  switch (key)
    {
    case 'n':
      option_address (state, arg, &tool->node_address);
      return 0;
    case 'l':
      option_address (state, arg, &tool->log_address);
      return 0;
    case 's':
      tool->stream = arg;
      return 0;
    case 'a':
      tool->author = arg;
      return 0;
    case 'j':
      tool->json_output = TRUE;
      return 0;
    case 'y':
      tool->is_confirmed = TRUE;
      return 0;
    case 't':
      tool->timeout_usec = strtoll (arg, NULL, 10) * G_USEC_PER_SEC;
      return 0;
    case OPTION_KEY:
      tool->key = arg;
      return 0;
    case OPTION_METHOD:
      tool->method = arg;
      return 0;
    case OPTION_DEADLINE:
      tool->deadline_msec = arg;
      return 0;
    case OPTION_BODY:
      tool->body_bytes = arg;
      return 0;
    case ARGP_KEY_ARG:
      if (tool->arg_count >= G_N_ELEMENTS (tool->args))
        argp_usage (state);
      tool->args[tool->arg_count++] = arg;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  static const struct argp argp = {
    options,
    parse_option,
    "check FILE\npublish FILE\nstatus\nexplain SERVICE KEY\n"
    "explain-request HOST TARGET\ncounters\ndrain\nlog\ndigest\ndeclare-dead "
    "NODE",
    "Check and publish configurations, and query nodes.\v"
    "explain-request queries a node of a mesh at its metrics address; the "
    "others query bambootallyd.  "
    "Exit status: 0 success, 2 usage, 3 invalid configuration, 4 "
    "conflict, 5 node or log unreachable, 6 not found, 7 indeterminate, "
    "8 views differ.",
    NULL,
    NULL,
    NULL
  };
  struct tool tool
      = { .stream = "bambootally",
          .author = "operator",
          .timeout_usec = (gint64)TIMEOUT_DEFAULT_SEC * G_USEC_PER_SEC };
  gsize i;

  argp_err_exit_status = TOOL_USAGE;
  argp_parse (&argp, argc, argv, 0, NULL, &tool);
  signal (SIGPIPE, SIG_IGN);
  for (i = 0; i < G_N_ELEMENTS (commands); i++)
    {
      const struct command *command = &commands[i];
      if (tool.arg_count != command->arg_count
          || strcmp (tool.args[0], command->name) != 0)
        continue;
      if ((command->needs_node && tool.node_address.port == 0)
          || (command->needs_log && tool.log_address.port == 0))
        break;
      return command->run (&tool);
    }
  argp_help (&argp, stderr, ARGP_HELP_STD_USAGE, argv[0]);
  return TOOL_USAGE;
}
