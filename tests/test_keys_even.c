#include "tests/keys_replay_run.h"

/* Replays 40 owners of keys, a quarter of which have half the speed of the
   others.  Their keys are dealt by number at first.  */

static const gdouble speeds[] = { 0.55, 1.2, 1.2, 1.2 };
static const gdouble equal_speeds[] = { 1 };

#define SETTLED 20u /* seconds until the keys have been moved */
#define SECONDS 60u
#define FLOOR_WINDOWS 200u

/* Return the busiest owner in multiples of the mean in windows of WINDOW
   seconds if each request went to an owner by chance in proportion to its
   speed: what is left if keys are perfectly even.  */
static gdouble
even_shares (guint rate, guint window)
{
  GRand *random = g_rand_new_with_seed (1);
  gdouble total = 0;
  guint w;
  guint i;

  for (w = 0; w < FLOOR_WINDOWS; w++)
    {
      gdouble work[KEYS_OWNERS] = { 0 };
      gdouble most = 0;
      gdouble sum = 0;
      for (i = 0; i < rate * window; i++)
        {
          guint k = (guint)g_rand_int_range (random, 0, KEYS_OWNERS);
          while (g_rand_double (random)
                 > speeds[k % G_N_ELEMENTS (speeds)] / 1.2)
            k = (guint)g_rand_int_range (random, 0, KEYS_OWNERS);
          work[k] += g_rand_double_range (random, 0.5, 1.5)
                     / speeds[k % G_N_ELEMENTS (speeds)];
        }
      for (i = 0; i < KEYS_OWNERS; i++)
        {
          sum += work[i];
          most = MAX (most, work[i]);
        }
      total += most * KEYS_OWNERS / sum / FLOOR_WINDOWS;
    }
  g_rand_free (random);
  return total;
}

/* Print RESULT of the seconds NAME.  */
static void
print_result (const char *name, const struct keys_result *result)
{
  printf (" %s: busiest %.2f, in 5 s %.2f, maps %u, moves %u, unheld %.4f,"
          " shards %u;",
          name, result->busiest, result->busiest_long, result->maps,
          result->moves, result->unheld, result->shards);
}

/* Return the mean result over three seeds from second FROM to second TO, with
   RATE requests a second to owners of COUNT SPEED in turn.  */
static struct keys_result
replay_mean (const gdouble *speed, guint count, guint rate, guint from,
             guint to)
{
  struct keys_result mean = { 0 };
  guint32 seed;

  for (seed = 1; seed <= 3; seed++)
    {
      struct keys_result result
          = keys_replay_run (speed, count, rate, to, from, 1, seed);
      mean.busiest += result.busiest / 3;
      mean.busiest_long += result.busiest_long / 3;
      mean.maps += result.maps;
      mean.moves += result.moves;
      mean.unheld += result.unheld / 3;
      mean.shards = MAX (mean.shards, result.shards);
    }
  mean.maps /= 3;
  mean.moves /= 3;
  return mean;
}

/* Owners of different speeds.  By run times alone the slow ones give their
   keys away until they are idle; the busiest owner had 1.7 to 2.0 times the
   mean then, and more keys were moved (108 ranges in the first 20 s).  */
static void
test_uneven_speeds (void)
{
  struct keys_result first = replay_mean (speeds, 4, 1107, 0, SETTLED);
  struct keys_result later = replay_mean (speeds, 4, 1107, SETTLED, SECONDS);

  printf ("\n1107 a second;");
  print_result ("0 to 20 s", &first);
  print_result ("20 to 60 s", &later);
  printf (" even shares %.2f, in 5 s %.2f\n", even_shares (1107, 1),
          even_shares (1107, 5));
  CU_ASSERT_TRUE (later.busiest_long < 1.42);
  CU_ASSERT_TRUE (later.busiest < 1.7);
  CU_ASSERT_TRUE (first.moves < 60);
  CU_ASSERT_TRUE (later.moves < 50);
}

/* Each move of a part of a shard adds shards to the map, and beyond 300 no
   keys are moved: the former code had 302 to 310 after 40 s, and the load
   stayed uneven.  Whole shards are moved where they fit.  */
static void
test_map_stays_small (void)
{
  struct keys_result later = keys_replay_run (speeds, 4, 1107, 240, 200, 1, 1);

  print_result ("200 to 240 s", &later);
  CU_ASSERT_TRUE (later.shards < 200);
  CU_ASSERT_TRUE (later.busiest_long < 1.42);
}

/* A server that becomes half as fast and stays so must lose keys, and one that
   becomes twice as fast must get some.  */
static void
test_speed_changes (void)
{
  struct keys_result slower
      = keys_replay_run (speeds, 4, 1107, 60, 40, 0.5, 1);
  struct keys_result faster = keys_replay_run (speeds, 4, 1107, 60, 40, 2, 1);

  printf (" half speed: %.2f of the mean, double speed: %.2f\n",
          slower.changed, faster.changed);
  CU_ASSERT_TRUE (slower.changed < 1.35);
  CU_ASSERT_TRUE (faster.changed > 0.5);
}

/* The same with much to do: 0.65 of the capacity.  */
static void
test_high_load (void)
{
  struct keys_result first = replay_mean (speeds, 4, 1600, 0, SETTLED);
  struct keys_result later = replay_mean (speeds, 4, 1600, SETTLED, SECONDS);

  printf ("\n1600 a second;");
  print_result ("0 to 20 s", &first);
  print_result ("20 to 60 s", &later);
  printf (" even shares %.2f, in 5 s %.2f\n", even_shares (1600, 1),
          even_shares (1600, 5));
  CU_ASSERT_TRUE (later.busiest_long < 1.35);
  CU_ASSERT_TRUE (later.busiest < 1.6);
  CU_ASSERT_TRUE (first.moves < 120);
}

/* Owners of one speed must not pass keys around because machines are slow for
   0.4 s at a time, or because requests come by chance.  */
static void
test_equal_speeds (void)
{
  struct keys_result later
      = replay_mean (equal_speeds, 1, 1107, SETTLED, SECONDS);

  printf ("\nequal speeds, 1107 a second;");
  print_result ("20 to 60 s", &later);
  CU_ASSERT_TRUE (later.busiest_long < 1.4);
  CU_ASSERT_TRUE (later.moves < 50);
}

/* The rate of the requests for keys must not depend on how long ago the counts
   were halved: two owners with the same rate differed by up to half.  */
static void
test_rate_is_steady (void)
{
  struct key_rate rates;
  gint64 now = START;
  guint i;

  key_rate_init (&rates);
  for (i = 0; i < 2000; i++)
    {
      now += 10 * MSEC;
      key_rate_decay (&rates, now);
      key_rate_add (&rates, 7);
      if (i < 1000)
        continue;
      CU_ASSERT_TRUE (key_rate_total (&rates) >= 97);
      CU_ASSERT_TRUE (key_rate_total (&rates) <= 103);
    }
  key_rate_clear (&rates);
}

/* The mean run time follows a machine that stays slow, but not one that is
   slow for a moment.  */
static void
test_mean_demand (void)
{
  struct even_keys keys = { 0 };
  gint64 now = START;
  guint i;

  for (i = 0; i < 20; i++)
    even_keys_update (&keys, 100, 100 * MSEC, now += 900 * MSEC);
  even_keys_update (&keys, 100, 200 * MSEC, now += 900 * MSEC);
  CU_ASSERT_TRUE (keys.run_usec < 120 * MSEC);
  for (i = 0; i < 12; i++)
    even_keys_update (&keys, 100, 200 * MSEC, now += 900 * MSEC);
  CU_ASSERT_TRUE (keys.run_usec > 180 * MSEC);
  CU_ASSERT_EQUAL (even_keys_rate (&keys), 100);
  even_keys_moved (&keys, 30);
  CU_ASSERT_EQUAL (even_keys_rate (&keys), 70);
}

/* A move must not make the receiver busier than the mean, and small
   differences are not worth one.  */
static void
test_rate_to_move (void)
{
  struct even_keys_receiver idle = { 0, 20000 };
  struct even_keys_receiver nearly_even = { 490, 20000 };

  CU_ASSERT_FALSE (even_keys_has_excess (560, 500));
  CU_ASSERT_FALSE (even_keys_has_excess (620, 500));
  CU_ASSERT_TRUE (even_keys_has_excess (630, 500));
  CU_ASSERT_FALSE (even_keys_has_excess (25, 10));
  CU_ASSERT_EQUAL (even_keys_rate_to_move (1500, 500, 20000, &idle), 25);
  CU_ASSERT_EQUAL (even_keys_rate_to_move (600, 500, 20000, &idle), 10);
  CU_ASSERT_EQUAL (even_keys_rate_to_move (600, 500, 20000, &nearly_even), 0);
}

int
main (void)
{
  CU_TestInfo tests[] = { { "uneven speeds", test_uneven_speeds },
                          { "map stays small", test_map_stays_small },
                          { "speed changes", test_speed_changes },
                          { "high load", test_high_load },
                          { "equal speeds", test_equal_speeds },
                          { "rate is steady", test_rate_is_steady },
                          { "mean demand", test_mean_demand },
                          { "rate to move", test_rate_to_move },
                          CU_TEST_INFO_NULL };

  return suite_run ("keys_even", tests);
}
