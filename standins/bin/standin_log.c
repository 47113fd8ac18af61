#include "standins/log_server.h"
#include "tool/option.h"

#include <argp.h>
#include <signal.h>
#include <stdio.h>

/* The log service stand-in as a process.  */

static const struct argp_option options[]
    = { { "listen", 'l', "IP:PORT", 0, "Address to listen on", 0 }, { 0 } };

/* Parse one option.  */
static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct address *listen_address = state->input;

  if (key == 'l')
    {
      option_address (state, arg, listen_address);
      return 0;
    }
  return ARGP_ERR_UNKNOWN;
}

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { options, parse_option,
          NULL,    "Run a stand-in for the platform's log service.",
          NULL,    NULL,
          NULL };
  struct address listen_address = { 0, 0 };
  struct log_server log;
  GMainLoop *loop = g_main_loop_new (NULL, FALSE);

  argp_parse (&argp, argc, argv, 0, NULL, &listen_address);
  signal (SIGPIPE, SIG_IGN);
  if (log_server_init (&log, listen_address) != ERR_NONE)
    {
      fprintf (stderr, "standin_log: cannot listen\n");
      return 1;
    }
  g_main_loop_run (loop);
  return 0;
}
