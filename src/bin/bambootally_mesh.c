#include "edge/journal.h"
#include "edge/mesh_node.h"
#include "edge/signals.h"

#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <unistd.h>

/* The daemon next to each backend server on a platform whose store supports
   conditional appends.  Exit status 1: invalid settings; 2: cannot listen.  */

#define EXIT_SETTINGS 1
#define EXIT_LISTEN 2
/* Environment variable with the path of the settings file.  */
#define SETTINGS_VARIABLE "BAMBOOTALLY_CONFIG"

const char *argp_program_version = "bambootally_mesh 0.1";

static const struct argp_option options[]
    = { { "settings", 's', "FILE", 0,
          "Read the settings from FILE, else from $" SETTINGS_VARIABLE, 0 },
        { "check", 'c', NULL, 0, "Check the settings and exit", 0 },
        { 0 } };

/* The command line.  */
struct arguments
{
  const char *settings; /* path of the settings file */
  gboolean check;       /* only validate the settings */
};

/* Parses one option.  */
static error_t
parse_option (int key, char *arg, /* NOLINT: argp's type */
              struct argp_state *state)
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
        arguments->settings = g_getenv (SETTINGS_VARIABLE);
      if (arguments->settings == NULL)
        argp_usage (state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

/* Stops gracefully on SIGTERM, immediately on SIGINT; reloads the settings on
   SIGHUP.  */
static void
on_signal (int number, gpointer data)
{
  struct mesh_node *node = data;
  struct event event = { .kind = EVENT_DRAIN };

  switch (number)
    {
    case SIGTERM:
      node->proxy.leaving = TRUE;
      mesh_node_handle_event (node, &event);
      break;
    case SIGHUP:
      mesh_node_reload (node);
      break;
    default:
      g_main_loop_quit (node->loop);
      break;
    }
}

/* Logs the start of the process.  */
static void
log_start (struct mesh_node *node)
{
  struct log_event log_event = { .id = LOG_EVENT_MESH_START };

  g_strlcpy (log_event.text, node->mesh.settings.name, sizeof log_event.text);
  g_snprintf (log_event.detail, sizeof log_event.detail,
              "version=\"%s\" incarnation=%016" G_GINT64_MODIFIER
              "x zone=%s service=%s",
              argp_program_version, node->mesh.settings.incarnation,
              node->mesh.settings.zone, node->mesh.settings.service);
  mesh_node_log (node, &log_event);
}

/* Runs a node until it has stopped.  Returns the exit status.  */
static int
run (const struct mesh_config *config, const char *file)
{
  static const int signal_numbers[] = { SIGTERM, SIGINT, SIGHUP };
  static struct mesh_node node;
  static struct log_output out;
  struct signals signals;
  enum err code;

  log_output_init (&out, STDOUT_FILENO);
  if (journal_open (config->log_level) != 0)
    fprintf (stderr, "bambootally_mesh: cannot open the journal: %s\n",
             err_name (ERR_IO));
  else
    journal_set_output (&out);
  signal (SIGPIPE, SIG_IGN);
  code = mesh_node_init (&node, config, file);
  if (code != ERR_NONE)
    {
      fprintf (stderr, "bambootally_mesh: cannot listen: %s\n",
               err_name (code));
      return EXIT_LISTEN;
    }
  signals_init (&signals, signal_numbers, G_N_ELEMENTS (signal_numbers),
                on_signal, &node);
  log_start (&node);
  g_main_loop_run (node.loop);
  signals_clear (&signals);
  mesh_node_clear (&node);
  journal_close ();
  log_output_clear (&out);
  return 0;
}

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { options, parse_option,
          NULL,    "Run one node of a mesh beside a backend server.",
          NULL,    NULL,
          NULL };
  struct arguments arguments = { 0 };
  struct mesh_config config;
  GArray *errors = g_array_new (FALSE, TRUE, sizeof (struct config_error));
  enum err code;
  guint i;

  argp_parse (&argp, argc, argv, 0, NULL, &arguments);
  code = mesh_config_read (&config, arguments.settings, errors);
  for (i = 0; i < errors->len; i++)
    {
      char *text = config_error_format (
          &g_array_index (errors, struct config_error, i));
      fprintf (stderr, "%s\n", text);
      g_free (text);
    }
  g_array_free (errors, TRUE);
  if (code != ERR_NONE)
    return EXIT_SETTINGS;
  if (arguments.check)
    return 0;
  return run (&config, arguments.settings);
}
