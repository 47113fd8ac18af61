#include "soak/soak_cluster.h"

#include "types/clock.h"

#include <argp.h>
#include <stdlib.h>

/* Runs real nodes under trouble from outside and checks what callers and
   servers see.  Exit status 1: a promise was broken.  */

#define STEP_MSEC 20u                 /* between looks */
#define SETTLE_USEC ((gint64)6000000) /* until the fleet serves */
#define CALM_USEC ((gint64)14000000)  /* after the last trouble */
#define LAST_USEC ((gint64)4000000)   /* of the calm: nearly all is served */
#define LAST_PERCENT 95u              /* of the requests then */
#define END_USEC ((gint64)3500000)    /* for the last answers */
#define ASKS_A_STEP 4u                /* requests */
#define TROUBLE_PERCENT 5             /* of the steps bring one */

/* One run.  */
struct run
{
  struct soak_cluster world; /* what runs */
  GMainLoop *loop;           /* the one loop */
  gint64 trouble_at;         /* trouble begins */
  gint64 calm_at;            /* and ends */
  gint64 last_at;            /* what is sent from then on is to be served */
  gint64 quiet_at;           /* no more requests */
  gint64 end_at;             /* all answers are in */
  gboolean healed;           /* all was healed */
  gboolean counting;         /* the last requests are counted */
  guint sent;                /* requests before the last ones */
  guint served;              /* of them */
};

/* The command line.  */
struct arguments
{
  guint32 seed;
  guint nodes;
  guint seconds;
  const char *program;
  guint16 port;
};

static const struct argp_option options[]
    = { { "seed", 's', "N", 0, "Draw the trouble from N (1)", 0 },
        { "nodes", 'n', "N", 0, "Run N nodes (6)", 0 },
        { "seconds", 't', "N", 0, "Bring trouble for N seconds (20)", 0 },
        { "program", 'p', "FILE", 0, "The node's program", 0 },
        { "port", 'b', "N", 0, "Use ports from N on (21000)", 0 },
        { 0 } };

/* Take in one option.  */
static error_t
parse_option (int key, char *arg, /* NOLINT: the type is argp's */
              struct argp_state *state)
{
  struct arguments *arguments = state->input;

  switch (key)
    {
    case 's':
      arguments->seed = (guint32)strtoul (arg, NULL, 10);
      return 0;
    case 'n':
      arguments->nodes
          = CLAMP ((guint)strtoul (arg, NULL, 10), 1u, SOAK_NODES_MAX);
      return 0;
    case 't':
      arguments->seconds = (guint)strtoul (arg, NULL, 10);
      return 0;
    case 'p':
      arguments->program = arg;
      return 0;
    case 'b':
      arguments->port = (guint16)strtoul (arg, NULL, 10);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

/* Count what was sent and served before the last requests.  */
static void
begin_last (struct run *run)
{
  run->counting = TRUE;
  run->sent = run->world.checker.sent_count;
  run->served = run->world.checker.served_count;
}

/* The timer.  */
static gboolean
on_step (gpointer data)
{
  struct run *run = data;
  struct soak_cluster *world = &run->world;
  gint64 now = clock_usec ();
  guint i;

  if (now >= run->end_at)
    {
      g_main_loop_quit (run->loop);
      return G_SOURCE_REMOVE;
    }
  if (now >= run->trouble_at && now < run->calm_at
      && g_rand_int_range (world->random, 0, 100) < TROUBLE_PERCENT)
    soak_cluster_inject_fault (world, now);
  if (now >= run->calm_at && !run->healed)
    {
      run->healed = TRUE;
      soak_cluster_heal (world, now);
    }
  if (now >= run->last_at && !run->counting)
    begin_last (run);
  for (i = 0; now >= run->trouble_at && now < run->quiet_at && i < ASKS_A_STEP;
       i++)
    soak_cluster_send_request (world);
  soak_cluster_step (world, now);
  return G_SOURCE_CONTINUE;
}

/* Set the times of RUN with trouble for SECONDS.  */
static void
plan (struct run *run, guint seconds)
{
  run->trouble_at = clock_usec () + SETTLE_USEC;
  run->calm_at = run->trouble_at + (gint64)seconds * USEC_PER_SEC;
  run->last_at = run->calm_at + CALM_USEC;
  run->quiet_at = run->last_at + LAST_USEC;
  run->end_at = run->quiet_at + END_USEC;
}

/* Say how RUN went; return the exit status.  */
static int
report (struct run *run, guint32 seed)
{
  struct soak_checker *book = &run->world.checker;
  guint sent = book->sent_count - run->sent;
  guint served = book->served_count - run->served;

  if (served * 100 < sent * LAST_PERCENT)
    soak_checker_violation (book, "served again once all is well", "");
  g_print ("soak: seed %u: %u faults, %u requests: %u served, %u refused, "
           "%u failed; at the end %u of %u; broken promises: %u\n",
           seed, run->world.injected_fault_count, book->sent_count,
           book->served_count, book->refused_count, book->failed_count, served,
           sent, book->violation_count);
  return book->violation_count > 0 ? EXIT_FAILURE : EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  const struct argp argp
      = { options, parse_option,
          NULL,    "Run real nodes under trouble and check their promises.",
          NULL,    NULL,
          NULL };
  struct arguments arguments
      = { 1, 6, 20, "build/release/bambootally_mesh", 21000 };
  struct run *run = g_new0 (struct run, 1);
  int status = EXIT_FAILURE;

  argp_parse (&argp, argc, argv, 0, NULL, &arguments);
  run->loop = g_main_loop_new (NULL, FALSE);
  plan (run, arguments.seconds);
  if (soak_cluster_init (&run->world, arguments.seed, arguments.nodes,
                         arguments.program, arguments.port))
    {
      g_timeout_add (STEP_MSEC, on_step, run);
      g_main_loop_run (run->loop);
      status = report (run, arguments.seed);
    }
  else
    g_printerr ("soak: cannot listen from port %u on\n", arguments.port);
  soak_cluster_clear (&run->world);
  g_main_loop_unref (run->loop);
  g_free (run);
  return status;
}
