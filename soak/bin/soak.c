#include "soak/soak_world.h"

#include "types/clock.h"

#include <argp.h>
#include <stdlib.h>

/* Runs node processes under injected faults and checks what callers and
   servers observe.  Exit status 1: a guarantee was violated.  */

#define STEP_MSEC 20u /* interval of the timer */
#define SETTLE_USEC                                                           \
  ((gint64)6000000) /* time for the nodes to start before requests and faults \
                       begin */
#define CALM_USEC ((gint64)14000000) /* time to recover after the last fault  \
                                      */
#define LAST_USEC                                                             \
  ((gint64)4000000) /* length of the final phase, in which nearly all         \
                       requests must be served */
#define LAST_PERCENT                                                          \
  95u /* share of the requests of the final phase to be served */
#define END_USEC ((gint64)3500000) /* time for the last answers */
#define ASKS_A_STEP 4u             /* requests sent in each step */
#define TROUBLE_PERCENT 5          /* share of the steps that inject a fault */

/* One run of the soak.  */
struct run
{
  struct soak_world world; /* nodes, servers, store and callers */
  GMainLoop *loop;         /* main loop */
  gint64 trouble_at;       /* requests and faults begin, monotonic usec */
  gint64 calm_at;          /* faults end, monotonic usec */
  gint64 last_at;          /* the final phase begins, monotonic usec */
  gint64 quiet_at;         /* the last request has been sent, monotonic usec */
  gint64 end_at;           /* end of the run, monotonic usec */
  gboolean healed;         /* all faults have been ended */
  gboolean counting;       /* the final phase has begun */
  guint sent;              /* requests sent before the final phase */
  guint served;            /* requests served before the final phase */
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

/* Parse one option.  */
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

/* Begin the final phase: note the counts of the requests before it.  */
static void
begin_last (struct run *run)
{
  run->counting = TRUE;
  run->sent = run->world.book.sent;
  run->served = run->world.book.served;
}

/* Step the run: inject faults, send requests, check.  Timer callback.  */
static gboolean
on_step (gpointer data)
{
  struct run *run = data;
  struct soak_world *world = &run->world;
  gint64 now = clock_usec ();
  guint i;

  if (now >= run->end_at)
    {
      g_main_loop_quit (run->loop);
      return G_SOURCE_REMOVE;
    }
  if (now >= run->trouble_at && now < run->calm_at
      && g_rand_int_range (world->random, 0, 100) < TROUBLE_PERCENT)
    soak_world_trouble (world, now);
  if (now >= run->calm_at && !run->healed)
    {
      run->healed = TRUE;
      soak_world_heal (world, now);
    }
  if (now >= run->last_at && !run->counting)
    begin_last (run);
  for (i = 0; now >= run->trouble_at && now < run->quiet_at && i < ASKS_A_STEP;
       i++)
    soak_world_ask (world);
  soak_world_step (world, now);
  return G_SOURCE_CONTINUE;
}

/* Set the times of RUN, with faults for SECONDS.  */
static void
plan (struct run *run, guint seconds)
{
  run->trouble_at = clock_usec () + SETTLE_USEC;
  run->calm_at = run->trouble_at + (gint64)seconds * USEC_PER_SEC;
  run->last_at = run->calm_at + CALM_USEC;
  run->quiet_at = run->last_at + LAST_USEC;
  run->end_at = run->quiet_at + END_USEC;
}

/* Print the result of RUN; return the exit status.  */
static int
report (struct run *run, guint32 seed)
{
  struct soak_book *book = &run->world.book;
  guint sent = book->sent - run->sent;
  guint served = book->served - run->served;

  if (served * 100 < sent * LAST_PERCENT)
    soak_book_break (book, "served again once all is well", "");
  g_print ("soak: seed %u: %u faults, %u requests: %u served, %u refused, "
           "%u failed; at the end %u of %u; broken promises: %u\n",
           seed, run->world.injected_faults, book->sent, book->served,
           book->refused, book->failed, served, sent, book->broken);
  return book->broken > 0 ? EXIT_FAILURE : EXIT_SUCCESS;
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
  if (soak_world_init (&run->world, arguments.seed, arguments.nodes,
                       arguments.program, arguments.port))
    {
      g_timeout_add (STEP_MSEC, on_step, run);
      g_main_loop_run (run->loop);
      status = report (run, arguments.seed);
    }
  else
    g_printerr ("soak: cannot listen from port %u on\n", arguments.port);
  soak_world_clear (&run->world);
  g_main_loop_unref (run->loop);
  g_free (run);
  return status;
}
