#include "serve/even_load.h"

#include "tests/former_choice.h"
#include "tests/load_replay_run.h"
#include "tests/suite.h"

/* Replays many entry nodes that choose servers at the same moment by old
   reports, and compares the choice with the one before it, and with methods
   that were considered.  */

#define SEEDS 4u
#define REPORTED_RUN_USEC ((gint64)100000)
#define LARGE_BODY ((gint64)102400)

/* The sums of the shares that are refused differ by this much by chance; the
   means over 24 seeds do not differ.  */
#define REFUSED_SPREAD 0.02

/* Without reports and run times no method knows the speeds of the servers, and
   the busiest one may be busier by chance.  */
#define BUSIEST_EQUAL 1.02

static const gdouble few_slow_speeds[] = { 0.7, 0.7, 1.6 };
static const gdouble spread_speeds[] = { 0.6, 1.0, 1.4 };
static const gdouble utilisations[] = { 0.5, 0.8, 0.95 };
static const char *const report_names[] = { "periodic", "answers", "missing" };

/* Return the server that the present method chooses.  */
static gint
choose_even_load (struct replay *replay, guint e, guint32 tried)
{
  struct even_load load;
  struct even_load_choice choice;
  guint s;

  even_load_init (&load, g_rand_int (replay->random), replay->now);
  for (s = 0; s < replay->setup->servers; s++)
    {
      struct placement_candidate server
          = { .member = handle_make (s, 1),
              .peer = &replay->peers[e][s],
              .is_near = replay->servers[s].zone == replay_zone (e) };
      even_load_offer (&load, &server, (tried >> s & 1) == 0);
    }
  choice = even_load_choose (&load, 0);
  return handle_is_set (choice.member) ? (gint)handle_index (choice.member)
                                       : -1;
}

/* Return a server drawn in proportion to its capacity, whatever its load.  */
static gint
choose_by_capacity (struct replay *replay, guint e, guint32 tried)
{
  gdouble least = G_MAXDOUBLE;
  gint best = -1;
  guint s;

  for (s = 0; s < replay->setup->servers; s++)
    {
      gdouble draw
          = replay_exponential (replay, 1)
            / peer_state_capacity (&replay->peers[e][s], 0, replay->now);
      if ((tried >> s & 1) != 0 || draw >= least)
        continue;
      least = draw;
      best = (gint)s;
    }
  return best;
}

/* Return the mean of the results of SETUP with CHOOSE over all seeds.  */
static struct replay_result
average (const struct replay_case *setup, replay_choose choose)
{
  struct replay_result sum = { 0 };
  guint32 seed;

  for (seed = 1; seed <= SEEDS; seed++)
    {
      struct replay_result result = replay_run (setup, choose, seed);
      sum.busiest += result.busiest / SEEDS;
      sum.wait_ms += result.wait_ms / SEEDS;
      sum.wait95_ms += result.wait95_ms / SEEDS;
      sum.refused += result.refused / SEEDS;
      sum.crossed += result.crossed / SEEDS;
    }
  return sum;
}

/* Print RESULT of the method NAME.  */
static void
print_result (const char *name, const struct replay_result *result)
{
  printf (" | %s %.2f %4.0f %4.0f %.3f %.2f", name, result->busiest,
          result->wait_ms, result->wait95_ms, result->refused,
          result->crossed);
}

/* What a method shows over the services and utilisations of one kind of
   reports.  */
struct sums
{
  gdouble wait_ms;
  gdouble refused;
  gdouble crossed;
  gdouble busiest;
};

/* Add RESULT to SUMS.  */
static void
add_result (struct sums *sums, const struct replay_result *result)
{
  sums->wait_ms += result->wait_ms;
  sums->refused += result->refused;
  sums->crossed += result->crossed;
  sums->busiest += result->busiest;
}

/* Replay services with 29, 8 and 4 servers at all utilisations, with load
   reports as REPORTS says, and compare the choice with the former one.  The
   servers say how long work takes now if NAMES_SLOWDOWN is set.  */
static void
compare (enum replay_reports reports, gboolean names_slowdown)
{
  static const guint sizes[] = { 29, 8, 4 };
  struct sums former_sums = { 0 };
  struct sums present_sums = { 0 };
  struct sums capacity_sums = { 0 };
  guint i;
  guint u;

  printf ("\n%s: busiest, wait ms, p95 ms, refused, crossed\n",
          report_names[reports]);
  for (i = 0; i < G_N_ELEMENTS (sizes); i++)
    for (u = 0; u < G_N_ELEMENTS (utilisations); u++)
      {
        struct replay_case setup
            = { .servers = sizes[i],
                .speeds = sizes[i] > 8 ? few_slow_speeds : spread_speeds,
                .speed_count = 3,
                .utilisation = utilisations[u],
                .reports = reports,
                .names_slowdown = names_slowdown };
        struct replay_result former = average (&setup, choose_former);
        struct replay_result present = average (&setup, choose_even_load);
        struct replay_result capacity = average (&setup, choose_by_capacity);
        printf ("%2u servers at %.2f", sizes[i], utilisations[u]);
        print_result ("former", &former);
        print_result ("present", &present);
        print_result ("capacity", &capacity);
        printf ("\n");
        add_result (&former_sums, &former);
        add_result (&present_sums, &present);
        add_result (&capacity_sums, &capacity);
      }
  printf ("all: wait former %.0f present %.0f capacity %.0f\n",
          former_sums.wait_ms, present_sums.wait_ms, capacity_sums.wait_ms);
  CU_ASSERT_TRUE (present_sums.wait_ms < former_sums.wait_ms);
  CU_ASSERT_TRUE (present_sums.wait_ms < capacity_sums.wait_ms);
  CU_ASSERT_TRUE (present_sums.busiest
                  < former_sums.busiest
                        * (reports == REPLAY_MISSING ? BUSIEST_EQUAL : 1));
  CU_ASSERT_TRUE (present_sums.crossed < former_sums.crossed);
  CU_ASSERT_TRUE (present_sums.refused < former_sums.refused + REFUSED_SPREAD);
}

/* Reports up to 1.3 s old.  */
static void
test_periodic_reports (void)
{
  compare (REPLAY_PERIODIC, FALSE);
}

/* Reports that come only with answers: a node hears of most servers once in
   some seconds.  */
static void
test_reports_with_answers (void)
{
  compare (REPLAY_ANSWERS, FALSE);
}

/* No reports at all, and so no run times.  */
static void
test_missing_reports (void)
{
  compare (REPLAY_MISSING, FALSE);
}

/* Reports that come only with answers, of servers that say how long work takes
   on their machines now.  */
static void
test_slowdown_named (void)
{
  compare (REPLAY_ANSWERS, TRUE);
}

/* Return a peer whose server has 6 slots and reported now that TAKEN requests
   are there, each of which runs for 100 ms.  */
static struct peer_state
peer_with (guint32 taken)
{
  struct peer_state peer = { 0 };
  struct load_report load = { .running = MIN (taken, 6),
                              .waiting = taken > 6 ? taken - 6 : 0,
                              .slots = 6,
                              .mean_run_usec = REPORTED_RUN_USEC };

  peer_state_on_load (&peer, &load, USEC_PER_SEC);
  return peer;
}

/* Servers that a request was refused at must not be chosen again, but what
   they reported counts towards what is known of the service.  */
static void
test_excluded_servers (void)
{
  struct peer_state half = peer_with (3);
  struct peer_state full = peer_with (10);
  struct placement_candidate first
      = { .member = handle_make (1, 1), .peer = &half, .is_near = TRUE };
  struct placement_candidate second
      = { .member = handle_make (2, 1), .peer = &full, .is_near = TRUE };
  struct even_load_choice choice;
  struct even_load load;

  even_load_init (&load, 1, USEC_PER_SEC);
  CU_ASSERT_FALSE (handle_is_set (even_load_choose (&load, 0).member));
  even_load_offer (&load, &first, FALSE);
  CU_ASSERT_FALSE (handle_is_set (even_load_choose (&load, 0).member));
  even_load_offer (&load, &second, TRUE);
  choice = even_load_choose (&load, 0);
  CU_ASSERT_TRUE (handle_equal (choice.member, second.member));
  CU_ASSERT_EQUAL (choice.compared, 1);
  CU_ASSERT_EQUAL (choice.busy_permille, 750);
}

/* Return how many of 1,000 requests with BODY_BYTES go to the server in the
   own data centre, where TAKEN requests are; the one elsewhere is idle.  */
static guint
near_of_thousand (guint32 taken, gint64 body_bytes)
{
  struct peer_state near_peer = peer_with (taken);
  struct peer_state far_peer = peer_with (0);
  struct placement_candidate near_server
      = { .member = handle_make (1, 1), .peer = &near_peer, .is_near = TRUE };
  struct placement_candidate far_server
      = { .member = handle_make (2, 1), .peer = &far_peer, .is_near = FALSE };
  guint count = 0;
  guint i;

  for (i = 0; i < 1000; i++)
    {
      struct even_load load;
      even_load_init (&load, i, USEC_PER_SEC);
      even_load_offer (&load, &near_server, TRUE);
      even_load_offer (&load, &far_server, TRUE);
      if (handle_equal (even_load_choose (&load, body_bytes).member,
                        near_server.member))
        count++;
    }
  return count;
}

/* Bytes between data centres are expensive: requests stay in the own one while
   its servers are not much busier, the longer the larger they are.  */
static void
test_own_data_centre_first (void)
{
  CU_ASSERT_EQUAL (near_of_thousand (0, 0), 1000);
  CU_ASSERT_EQUAL (near_of_thousand (4, LARGE_BODY), 1000);
  CU_ASSERT_EQUAL (near_of_thousand (8, LARGE_BODY), 1000);
  CU_ASSERT_EQUAL (near_of_thousand (8, 0), 0);
}

int
main (void)
{
  CU_TestInfo tests[]
      = { { "periodic reports", test_periodic_reports },
          { "reports with answers", test_reports_with_answers },
          { "missing reports", test_missing_reports },
          { "slowdown named", test_slowdown_named },
          { "excluded servers", test_excluded_servers },
          { "own data centre first", test_own_data_centre_first },
          CU_TEST_INFO_NULL };

  return suite_run ("even_load", tests);
}
