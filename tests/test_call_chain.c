#include "tests/call_chain.h"
#include "tests/suite.h"

/* Parents whose calls compete with other requests.  */

/* Shares that count as equal: seeds differ by about this.  */
#define EQUAL 0.02

/* Replay 160 parents a second and so many other requests that the servers that
   get the calls are offered LOAD of their capacity.  */
static void
replay_chain (double load, gboolean inherits, struct result *results)
{
  struct chain *chain = g_new0 (struct chain, 1);
  double calls_slots = 160 * 1.4 * 0.031;
  double others
      = (load * SLOTS * (SERVERS - PARENT_SERVERS) - calls_slots) / 0.160;
  double next_at[2] = { START, START };
  guint i;

  chain->inherits = inherits;
  chain->random = g_rand_new_with_seed (7);
  for (i = 0; i < SERVERS; i++)
    {
      admission_init (&chain->admission[i]);
      admission_set_slots (&chain->admission[i], SLOTS, SLOTS * 4);
    }
  for (chain->now = START; chain->now < START + LENGTH; chain->now += MSEC)
    {
      step_items (chain);
      step_arrivals (chain, ITEM_PARENT, 160, &next_at[0]);
      step_arrivals (chain, ITEM_OTHER, others, &next_at[1]);
      if (chain->now % (25 * MSEC) == 0)
        for (i = 0; i < SERVERS; i++)
          start_queued (chain, i);
    }
  for (i = 0; i < ITEM_KINDS; i++)
    results[i] = chain->results[i];
  for (i = 0; i < SERVERS; i++)
    admission_clear (&chain->admission[i]);
  g_rand_free (chain->random);
  g_free (chain);
}

/* Return the share of the requests in RESULT that were served within the
   target.  */
static double
on_time_share (const struct result *result)
{
  return (double)result->on_time / result->sent;
}

/* Print RESULTS.  */
static void
print_results (double load, const char *label, const struct result *results)
{
  const struct result *parents = &results[ITEM_PARENT];
  const struct result *others = &results[ITEM_OTHER];

  printf ("\n    %.1f %-9s parents: on time %.3f late %.3f failed %.3f;"
          " others: on time %.3f late %.3f",
          load, label, (double)parents->on_time / parents->sent,
          (double)parents->late / parents->sent,
          (double)parents->failed / parents->sent,
          (double)others->on_time / others->sent,
          (double)others->late / others->sent);
}

/* Guards against priority inversion and against parents that fail because
   their calls were refused a few times: with inheritance and further attempts,
   few parents fail even where the servers of the calls are offered more than
   they can run, and no load lets more of them fail than without.  */
static void
test_parents (void)
{
  static const double loads[] = { 0.8, 1.1, 1.6 };
  guint i;

  for (i = 0; i < G_N_ELEMENTS (loads); i++)
    {
      struct result before[ITEM_KINDS];
      struct result now[ITEM_KINDS];
      replay_chain (loads[i], FALSE, before);
      replay_chain (loads[i], TRUE, now);
      print_results (loads[i], "as routes", before);
      print_results (loads[i], "inherited", now);
      CU_ASSERT_TRUE (now[ITEM_PARENT].failed <= before[ITEM_PARENT].failed);
      CU_ASSERT_TRUE (now[ITEM_PARENT].failed * 100 <= now[ITEM_PARENT].sent);
      CU_ASSERT_TRUE (on_time_share (&now[ITEM_PARENT])
                      >= on_time_share (&before[ITEM_PARENT]) - EQUAL);
    }
  printf ("\n");
}

int
main (void)
{
  CU_TestInfo tests[]
      = { { "failed parents", test_parents }, CU_TEST_INFO_NULL };

  return suite_run ("call_chain", tests);
}
