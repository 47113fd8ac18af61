#include "edge/journal.h"
#include "edge/node.h"
#include "edge/signals.h"

#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <sys/random.h>

/* The daemon next to each backend server on a platform with a log service.
   Runs one node.  Exit status 1: invalid settings; 2: cannot listen.  */

#define EXIT_SETTINGS 1
#define EXIT_LISTEN 2

const char *argp_program_version = "bambootallyd 0.1";

static const struct argp_option options[]
    = { { "settings", 's', "FILE", 0, "Read the settings from FILE", 0 },
        { "check", 'c', NULL, 0, "Check the settings and exit", 0 },
        { 0 } };

/* The command line.  */
struct arguments
{
  char *settings; /* path of the settings file */
  gboolean check; /* only validate the settings */
};

/* Parses one option.  */
static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct arguments *arguments = state->input;

  switch (key)
    {
    case 's':
      arguments->settings = arg;
      return 0;
    case 'c':
      arguments->check = TRUE;
      return 0;
    case ARGP_KEY_END:
      if (arguments->settings == NULL)
        argp_usage (state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

/* Stops gracefully on SIGTERM, immediately on SIGINT.  */
static void
on_signal (int number, gpointer data)
{
  struct node *node = data;
  struct event event = { .kind = EVENT_DRAIN };

  if (number == SIGTERM)
    node_handle_event (node, &event);
  else
    g_main_loop_quit (node->loop);
}

/* Prints the errors in the settings.  */
static void
print_errors (const GArray *errors)
{
  guint i;

  for (i = 0; i < errors->len; i++)
    {
      char *text = config_error_format (
          &g_array_index (errors, struct config_error, i));
      fprintf (stderr, "%s\n", text);
      g_free (text);
    }
}

/* Draws a random incarnation and seed.  */
static enum err
draw_incarnation (struct settings *settings)
{
  struct core_settings *core = &settings->core;

  if (getrandom (&core->incarnation, sizeof core->incarnation, 0) < 0
      || getrandom (&core->random_seed, sizeof core->random_seed, 0) < 0)
    return ERR_IO;
  return ERR_NONE;
}

/* Runs one incarnation of a node until it has stopped.  Sets AGAIN if the node
   must start again under a new incarnation.  */
static enum err
run_incarnation (struct settings *settings, gboolean *again)
{
  static const int signal_numbers[] = { SIGTERM, SIGINT };
  static struct node node;
  struct signals signals;
  enum err code = draw_incarnation (settings);

  *again = FALSE;
  if (code == ERR_NONE)
    code = node_init (&node, settings);
  if (code != ERR_NONE)
    return code;
  signals_init (&signals, signal_numbers, G_N_ELEMENTS (signal_numbers),
                on_signal, &node);
  g_main_loop_run (node.loop);
  *again = node.should_restart;
  signals_clear (&signals);
  node_clear (&node);
  return ERR_NONE;
}

/* Runs a node until it has stopped for good.  Returns the exit status.  */
static int
run (struct settings *settings)
{
  gboolean again;
  enum err code;

  if (journal_open (settings->log_level) != 0)
    fprintf (stderr, "bambootallyd: cannot open the journal: %s\n",
             err_name (ERR_IO));
  signal (SIGPIPE, SIG_IGN);
  do
    code = run_incarnation (settings, &again);
  while (code == ERR_NONE && again);
  journal_close ();
  if (code == ERR_NONE)
    return 0;
  fprintf (stderr, "bambootallyd: cannot listen: %s\n", err_name (code));
  return EXIT_LISTEN;
}

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { options, parse_option,
          NULL,    "Run one node of the router beside a backend server.",
          NULL,    NULL,
          NULL };
  struct arguments arguments = { 0 };
  struct settings settings;
  GArray *errors = g_array_new (FALSE, TRUE, sizeof (struct config_error));
  enum err code;

  argp_parse (&argp, argc, argv, 0, NULL, &arguments);
  code = settings_read (&settings, arguments.settings, errors);
  print_errors (errors);
  g_array_free (errors, TRUE);
  if (code != ERR_NONE)
    return EXIT_SETTINGS;
  if (arguments.check)
    return 0;
  return run (&settings);
}
