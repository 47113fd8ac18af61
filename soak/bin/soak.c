#include "soak/soak_cluster.h"

#include "types/clock.h"

#include <argp.h>
#include <stdlib.h>

/* Runs node processes under injected faults and checks what callers and
   servers observe.  Exit status 1: a guarantee was violated.  */

#define STEP_INTERVAL_MSEC 20u              /* interval of the timer */
#define SETTLE_USEC ((gint64)6000000)       /* start-up before any request */
#define RECOVERY_USEC ((gint64)14000000)    /* recovery after the last fault */
#define FINAL_PHASE_USEC ((gint64)4000000)  /* checked phase after recovery */
#define FINAL_SERVED_PERCENT 95u            /* must be served in this phase */
#define LAST_ANSWERS_USEC ((gint64)3500000) /* wait for the last answers */
#define REQUESTS_PER_STEP 4u                /* requests sent in each step */
#define AHEAD_PERCENT 10 /* share of steps in which a caller sends ahead */
#define FAULT_PERCENT 5  /* share of steps with a fault */

/* One run of the soak.  */
struct run
{
  struct soak_cluster cluster; /* nodes, servers, store and callers */
  GMainLoop *loop;             /* main loop */
  gint64 faults_begin_at;      /* requests and faults begin, monotonic usec */
  gint64 faults_end_at;        /* faults end, monotonic usec */
  gint64 final_phase_at;       /* the final phase begins, monotonic usec */
  gint64 requests_end_at;  /* the last request has been sent, monotonic usec */
  gint64 end_at;           /* end of the run, monotonic usec */
  gboolean healed;         /* all faults have been ended */
  gboolean in_final_phase; /* the final phase has begun */
  guint sent_before_final; /* requests sent before the final phase */
  guint served_before_final; /* requests served before the final phase */
};

/* The command line.  */
struct arguments
{
  guint32 seed;
  guint nodes;
  guint seconds;
  const char *program;
  guint16 port;
  enum grant_method method;
};

static const struct argp_option options[]
    = { { "seed", 's', "N", 0, "Draw the faults from the seed N (1)", 0 },
        { "nodes", 'n', "N", 0, "Run N nodes (6)", 0 },
        { "seconds", 't', "N", 0, "Inject faults for N seconds (20)", 0 },
        { "program", 'p', "FILE", 0, "The node's program", 0 },
        { "port", 'b', "N", 0, "Use the ports from N on (21000)", 0 },
        { "grants", 'g', "METHOD", 0,
          "Tell servers their keys by heartbeat or by call (heartbeat)", 0 },
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
    case 'g':
      if (strcmp (arg, "call") != 0 && strcmp (arg, "heartbeat") != 0)
        argp_error (state, "unknown way of granting keys: %s", arg);
      arguments->method
          = strcmp (arg, "call") == 0 ? GRANT_BY_CALL : GRANT_BY_ANSWER;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

/* Begin the final phase: note the counts of the requests before it.  */
static void
begin_final_phase (struct run *run)
{
  run->in_final_phase = TRUE;
  run->sent_before_final = run->cluster.checker.sent_count;
  run->served_before_final = run->cluster.checker.served_count;
}

/* Send the requests of one step.  */
static void
send_requests (struct soak_cluster *cluster)
{
  guint i;

  for (i = 0; i < REQUESTS_PER_STEP; i++)
    soak_cluster_send_request (cluster);
  if (g_rand_int_range (cluster->random, 0, 100) < AHEAD_PERCENT)
    soak_cluster_send_ahead (cluster);
}

/* Step the run: inject faults, send requests, check.  Timer callback.  */
static gboolean
on_step (gpointer data)
{
  struct run *run = data;
  struct soak_cluster *cluster = &run->cluster;
  gint64 now = clock_usec ();

  if (now >= run->end_at)
    {
      g_main_loop_quit (run->loop);
      return G_SOURCE_REMOVE;
    }
  if (now >= run->faults_begin_at && now < run->faults_end_at
      && g_rand_int_range (cluster->random, 0, 100) < FAULT_PERCENT)
    soak_cluster_inject_fault (cluster, now);
  soak_cluster_operate (
      cluster, now >= run->faults_begin_at && now < run->faults_end_at, now);
  if (now >= run->faults_end_at && !run->healed)
    {
      run->healed = TRUE;
      soak_cluster_heal (cluster, now);
    }
  if (now >= run->final_phase_at && !run->in_final_phase)
    begin_final_phase (run);
  if (now >= run->faults_begin_at && now < run->requests_end_at)
    send_requests (cluster);
  soak_cluster_step (cluster, now);
  return G_SOURCE_CONTINUE;
}

/* Set the times of RUN, with faults for SECONDS.  */
static void
set_times (struct run *run, guint seconds)
{
  run->faults_begin_at = clock_usec () + SETTLE_USEC;
  run->faults_end_at = run->faults_begin_at + (gint64)seconds * USEC_PER_SEC;
  run->final_phase_at = run->faults_end_at + RECOVERY_USEC;
  run->requests_end_at = run->final_phase_at + FINAL_PHASE_USEC;
  run->end_at = run->requests_end_at + LAST_ANSWERS_USEC;
}

/* Print the result of RUN; return the exit status.  */
static int
report (struct run *run, guint32 seed)
{
  struct soak_checker *checker = &run->cluster.checker;
  guint sent = checker->sent_count - run->sent_before_final;
  guint served = checker->served_count - run->served_before_final;

  if (served * 100 < sent * FINAL_SERVED_PERCENT)
    soak_checker_violation (checker, "requests are served after the faults",
                            "");
  g_print ("soak: seed %u: %u faults, %u evacuations, %u older copies, %u "
           "requests: %u served, "
           "%u refused, "
           "%u failed; %u broken off; at the end %u of %u; violations: %u\n",
           seed, run->cluster.injected_fault_count,
           run->cluster.evacuation.count, run->cluster.rollback.count,
           checker->sent_count, checker->served_count, checker->refused_count,
           checker->failed_count, checker->broken_count, served, sent,
           checker->violation_count);
  return checker->violation_count > 0 ? EXIT_FAILURE : EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  const struct argp argp
      = { options, parse_option,
          NULL,    "Run nodes under injected faults and check guarantees.",
          NULL,    NULL,
          NULL };
  struct arguments arguments
      = { 1, 6, 20, "build/release/bambootally_mesh", 21000, GRANT_BY_ANSWER };
  struct run *run = g_new0 (struct run, 1);
  int status = EXIT_FAILURE;

  argp_parse (&argp, argc, argv, 0, NULL, &arguments);
  run->loop = g_main_loop_new (NULL, FALSE);
  set_times (run, arguments.seconds);
  if (soak_cluster_init (&run->cluster, arguments.seed, arguments.nodes,
                         arguments.program, arguments.port, arguments.method))
    {
      g_timeout_add (STEP_INTERVAL_MSEC, on_step, run);
      g_main_loop_run (run->loop);
      status = report (run, arguments.seed);
    }
  else
    g_printerr ("soak: cannot listen from port %u on\n", arguments.port);
  soak_cluster_clear (&run->cluster);
  g_main_loop_unref (run->loop);
  g_free (run);
  return status;
}
