#include "standins/back_server.h"
#include "tool/option.h"

#include <argp.h>
#include <signal.h>
#include <stdlib.h>

/* The backend server stand-in as a process.  */

#define SLOTS_DEFAULT 20u /* slots of a server in Wales */
#define LOAD_LAG_DEFAULT_MSEC 500u

static const struct argp_option options[]
    = { { "listen", 'l', "IP:PORT", 0, "Listen there", 0 },
        { "node", 'n', "IP:PORT", 0, "Announce itself to the node there", 0 },
        { "name", 'N', "NAME", 0, "Its name", 0 },
        { "slots", 's', "N", 0, "Run N requests at once", 0 },
        { "run-ms", 'r', "MS", 0, "A request runs for MS", 0 },
        { "record", 'R', "FILE", 0, "Record requests in FILE", 0 },
        { "ignore-fences", 'i', NULL, 0, "Do not check fences", 0 },
        { "cold-ms", 'c', "MS", 0, "Be slow for MS after the start", 0 },
        { 0 } };

/* Take in one option.  */
static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct back_settings *settings = state->input;

  switch (key)
    {
    case 'l':
      option_address (state, arg, &settings->listen_address);
      return 0;
    case 'n':
      option_address (state, arg, &settings->node_address);
      return 0;
    case 'N':
      settings->name = arg;
      return 0;
    case 's':
      settings->slot_count = (guint32)strtoul (arg, NULL, 10);
      return 0;
    case 'r':
      settings->run_msec = (guint)strtoul (arg, NULL, 10);
      return 0;
    case 'R':
      settings->record_path = arg;
      return 0;
    case 'i':
      settings->checks_fences = FALSE;
      return 0;
    case 'c':
      settings->warmup_msec = (guint)strtoul (arg, NULL, 10);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { options, parse_option, NULL, "Stand in for a backend server.",
          NULL,    NULL,         NULL };
  struct back_settings settings
      = { .name = "server",
          .slot_count = SLOTS_DEFAULT,
          .checks_fences = TRUE,
          .load_report_msec = LOAD_LAG_DEFAULT_MSEC };
  static struct back_server back;
  GMainLoop *loop = g_main_loop_new (NULL, FALSE);

  argp_parse (&argp, argc, argv, 0, NULL, &settings);
  signal (SIGPIPE, SIG_IGN);
  if (back_server_init (&back, &settings) != ERR_NONE)
    {
      fprintf (stderr, "standin_server: cannot listen\n");
      return 1;
    }
  g_main_loop_run (loop);
  return 0;
}
