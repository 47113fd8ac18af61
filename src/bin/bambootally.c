#include "tool/option.h"
#include "tool/tool.h"

#include <argp.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

/* The operators' command.  */

#define TIMEOUT_DEFAULT_SEC 10

const char *argp_program_version = "bambootally 0.1";

static const struct argp_option options[]
    = { { "node", 'n', "IP:PORT", 0, "Ask the node whose front is there", 0 },
        { "log", 'l', "IP:PORT", 0, "The log service, for publish", 0 },
        { "stream", 's', "NAME", 0, "The stream on the log (bambootally)", 0 },
        { "author", 'a', "NAME", 0, "Who publishes", 0 },
        { "json", 'j', NULL, 0, "Machine-readable output", 0 },
        { "yes", 'y', NULL, 0, "Accept what is at stake", 0 },
        { "timeout", 't', "SECONDS", 0, "Wait so long in all (10)", 0 },
        { 0 } };

/* A command.  */
struct command
{
  const char *name;                 /* its first word */
  guint words;                      /* words with the first */
  gboolean wants_node;              /* needs --node */
  gboolean wants_log;               /* needs --log */
  int (*run) (const struct tool *); /* does it */
};

static const struct command commands[] = {
  { "check", 2, FALSE, FALSE, tool_check },
  { "publish", 2, TRUE, TRUE, tool_publish },
  { "status", 1, TRUE, FALSE, tool_status },
  { "explain", 3, TRUE, FALSE, tool_explain },
  { "counters", 1, TRUE, FALSE, tool_counters },
  { "drain", 1, TRUE, FALSE, tool_drain },
  { "log", 1, FALSE, TRUE, tool_log },
  { "digest", 1, TRUE, FALSE, tool_digest },
  { "declare-dead", 2, TRUE, TRUE, tool_declare_dead },
};

/* Take in one option.  */
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
    "check FILE\npublish FILE\nstatus\nexplain SERVICE KEY\ncounters\ndrain\n"
    "log\ndigest\ndeclare-dead NODE",
    "Check and publish configurations, and ask nodes what they do.\v"
    "Exit status: 0 done, 2 usage, 3 the configuration has faults, 4 "
    "conflict, 5 node or log not reached, 6 no such thing, 7 not sure, "
    "8 nodes differ.",
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
      if (tool.arg_count != command->words
          || strcmp (tool.args[0], command->name) != 0)
        continue;
      if ((command->wants_node && tool.node_address.port == 0)
          || (command->wants_log && tool.log_address.port == 0))
        break;
      return command->run (&tool);
    }
  argp_help (&argp, stderr, ARGP_HELP_STD_USAGE, argv[0]);
  return TOOL_USAGE;
}
