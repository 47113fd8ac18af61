#include "standins/caller.h"
#include "types/clock.h"
#include "tool/option.h"

#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

/* The caller stand-in as a process.  Exit status 0: every request was
   answered whole.  */

static const struct argp_option options[]
    = { { "node", 'n', "IP:PORT", 0, "Front of the node to call", 0 },
        { "method", 'm', "METHOD", 0, "HTTP method (GET)", 0 },
        { "path", 'p', "PATH", 0, "Path; a % stands for a key number", 0 },
        { "keys", 'k', "N", 0, "Draw key numbers below N", 0 },
        { "count", 'c', "N", 0, "Send N requests", 0 },
        { "seconds", 's', "S", 0, "Send requests for S seconds", 0 },
        { "parallel", 'P', "N", 0, "Keep N under way at once", 0 },
        { "upload", 'u', "BYTES", 0, "Send so many bytes with each", 0 },
        { "seed", 'S', "N", 0, "Seed for the key numbers", 0 },
        { "timeout", 't', "MS", 0, "Give a request up after MS", 0 },
        { "pause", 'w', "MS", 0, "Wait between requests", 0 },
        { "quiet", 'q', NULL, 0, "Print totals only", 0 },
        { 0 } };

/* Take in one option.  */
static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct caller_settings *settings = state->input;

  switch (key)
    {
    case 'n':
      option_address (state, arg, &settings->node_address);
      return 0;
    case 'm':
      settings->method = arg;
      return 0;
    case 'p':
      settings->path = arg;
      return 0;
    case 'k':
      settings->key_count = (guint32)strtoul (arg, NULL, 10);
      return 0;
    case 'c':
      settings->request_count = (guint32)strtoul (arg, NULL, 10);
      return 0;
    case 's':
      settings->stop_at
          = clock_usec () + (gint64)(strtod (arg, NULL) * G_USEC_PER_SEC);
      return 0;
    case 'P':
      settings->concurrency = (guint32)strtoul (arg, NULL, 10);
      return 0;
    case 'u':
      settings->upload_bytes = strtoll (arg, NULL, 10);
      return 0;
    case 'S':
      settings->seed = strtoull (arg, NULL, 10);
      return 0;
    case 't':
      settings->timeout_usec = strtoll (arg, NULL, 10) * 1000;
      return 0;
    case 'w':
      settings->pause_usec = strtoll (arg, NULL, 10) * 1000;
      return 0;
    case 'q':
      settings->quiet = TRUE;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { options, parse_option, NULL, "Stand in for callers.",
          NULL,    NULL,         NULL };
  struct caller_settings settings = { .method = "GET",
                                      .path = "/",
                                      .request_count = 1,
                                      .concurrency = 1,
                                      .timeout_usec = 30000000 };
  struct caller_totals totals;
  guint64 failed;

  argp_parse (&argp, argc, argv, 0, NULL, &settings);
  signal (SIGPIPE, SIG_IGN);
  caller_run (&settings, &totals);
  failed = totals.not_run_count + totals.unknown_count
           + totals.incomplete_count + totals.mismatched_count
           + totals.other_status_count;
  printf ("done=%" G_GUINT64_FORMAT " not-run=%" G_GUINT64_FORMAT
          " unknown=%" G_GUINT64_FORMAT " broken=%" G_GUINT64_FORMAT
          " crossed=%" G_GUINT64_FORMAT " other=%" G_GUINT64_FORMAT
          " p50-usec=%" G_GINT64_FORMAT " p99-usec=%" G_GINT64_FORMAT "\n",
          totals.done_count, totals.not_run_count, totals.unknown_count,
          totals.incomplete_count, totals.mismatched_count,
          totals.other_status_count, caller_percentile (&totals, 0.5),
          caller_percentile (&totals, 0.99));
  return failed == 0 && totals.done_count > 0 ? 0 : 1;
}
