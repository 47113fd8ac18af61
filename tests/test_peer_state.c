#include "serve/peer_state.h"

#include "tests/suite.h"

#define START ((gint64)100000000)
#define MSEC ((gint64)1000)

static const struct peer_query same_zone_query = { .same_zone = TRUE };

/* Return a peer with 6 slots that reported at START that RUNNING and WAITING
   requests are there, each of which takes 100 ms.  */
static struct peer_state
peer_with_load (guint32 running, guint32 waiting)
{
  struct peer_state peer = { 0 };
  struct load_report load = { .running = running,
                              .waiting = waiting,
                              .slots = 6,
                              .mean_run_usec = 100 * MSEC };

  peer_state_on_load (&peer, &load, START);
  return peer;
}

/* A peer that answers late has an outdated load report, by which it may look
   idle.  Such a peer must not look better than one known to be full.  */
static void
test_late_peer_looks_idle (void)
{
  struct peer_state late = peer_with_load (6, 6);
  struct peer_state full = peer_with_load (6, 6);
  gint64 now = START + 1000 * MSEC;

  peer_state_on_sent (&late, START + 100 * MSEC);
  peer_state_on_load (&full, &full.load, now);
  CU_ASSERT_TRUE (peer_state_cost (&late, &same_zone_query, now)
                  > peer_state_cost (&full, &same_zone_query, now));
  peer_state_on_abandoned (&late, now);
  CU_ASSERT_EQUAL (late.in_flight, 0);
  CU_ASSERT_TRUE (
      peer_state_cost (&late, &same_zone_query, now + 100 * MSEC)
      > peer_state_cost (&full, &same_zone_query, now + 100 * MSEC));
}

/* A late peer is tried again after a while, and its delay no longer counts
   once it answers.  */
static void
test_late_peer_is_tried_again (void)
{
  struct peer_state late = peer_with_load (6, 6);
  struct peer_state full = peer_with_load (6, 6);
  gint64 now = START + 1500 * MSEC;
  gint64 before;

  peer_state_on_sent (&late, START);
  peer_state_on_abandoned (&late, now);
  now += 1500 * MSEC;
  peer_state_on_load (&full, &full.load, now);
  CU_ASSERT_TRUE (peer_state_cost (&late, &same_zone_query, now)
                  < peer_state_cost (&full, &same_zone_query, now));
  before = peer_state_cost (&late, &same_zone_query, now);
  peer_state_on_sent (&late, now);
  peer_state_on_answer (&late, now + 10 * MSEC);
  CU_ASSERT_EQUAL (late.unanswered_since, 0);
  CU_ASSERT_TRUE (peer_state_cost (&late, &same_zone_query, now)
                  < before + 200 * MSEC);
}

/* The weight of a load report falls with its age.  */
static void
test_load_weight_falls (void)
{
  struct peer_state busy = peer_with_load (6, 6);
  struct peer_state idle = peer_with_load (0, 0);
  gint64 later = START + 1000 * MSEC;

  CU_ASSERT_TRUE (peer_state_cost (&busy, &same_zone_query, later)
                  < peer_state_cost (&busy, &same_zone_query, START));
  CU_ASSERT_TRUE (peer_state_cost (&idle, &same_zone_query, later)
                  > peer_state_cost (&idle, &same_zone_query, START));
  CU_ASSERT_TRUE (peer_state_cost (&busy, &same_zone_query, later)
                  > peer_state_cost (&idle, &same_zone_query, later));
  later += 10000 * MSEC;
  CU_ASSERT_EQUAL (peer_state_cost (&busy, &same_zone_query, later),
                   peer_state_cost (&idle, &same_zone_query, later));
}

/* A new server has not reported a run time and looks fast if that counts as 0.
   The server must count as an average one.  */
static void
test_new_server_looks_fast (void)
{
  struct peer_state fresh = peer_with_load (6, 0);
  struct peer_state average = peer_with_load (6, 0);
  struct peer_query query
      = { .same_zone = TRUE, .default_run_usec = 300 * MSEC };

  fresh.load.mean_run_usec = 0;
  average.load.mean_run_usec = 300 * MSEC;
  CU_ASSERT_EQUAL (peer_state_cost (&fresh, &query, START),
                   peer_state_cost (&average, &query, START));
}

/* A peer that is not a neighbour sends no reports unless it gets requests.  If
   its last report named no slots, or is old, its record must count, or it
   would never be tried again.  */
static void
test_old_report_without_slots (void)
{
  struct peer_state peer = peer_with_load (0, 0);
  struct fleet_member member = { .incarnation = 7, .slots = 12 };
  struct load_report none = { 0 };

  peer_state_on_record (&peer, &member, START - 1000 * MSEC);
  CU_ASSERT_EQUAL (peer_state_slots (&peer, START + 2900 * MSEC), 6);
  CU_ASSERT_EQUAL (peer_state_slots (&peer, START + 3000 * MSEC), 12);
  peer_state_on_load (&peer, &none, START);
  CU_ASSERT_EQUAL (peer_state_slots (&peer, START + 200 * MSEC), 0);
  CU_ASSERT_EQUAL (peer_state_slots (&peer, START + 300 * MSEC), 12);
  member.slots = 8;
  peer_state_on_record (&peer, &member, START + 300 * MSEC);
  CU_ASSERT_EQUAL (peer_state_slots (&peer, START + 300 * MSEC), 8);
  CU_ASSERT_TRUE (peer_state_cost (&peer, &same_zone_query, START + 300 * MSEC)
                  > 0);
}

/* A server whose node has just reported no slots is tried only where no other
   server has room: after a crash its record names slots for some time.  */
static void
test_report_without_slots_is_last (void)
{
  struct peer_state down = peer_with_load (0, 0);
  struct peer_state full = peer_with_load (6, 18);
  struct fleet_member member = { .incarnation = 7, .slots = 12 };
  struct load_report none = { 0 };
  gint64 now = START + 500 * MSEC;

  peer_state_on_record (&down, &member, START - 1000 * MSEC);
  peer_state_on_load (&down, &none, START);
  CU_ASSERT_TRUE (peer_state_cost (&down, &same_zone_query, now)
                  > peer_state_cost (&full, &same_zone_query, now));
  CU_ASSERT_TRUE (peer_state_capacity (&down, 0, now)
                  < peer_state_capacity (&full, 0, now) / 100);
  now = START + 3000 * MSEC;
  CU_ASSERT_TRUE (peer_state_cost (&down, &same_zone_query, now)
                  < peer_state_cost (&full, &same_zone_query, now));
}

int
main (void)
{
  CU_TestInfo tests[]
      = { { "late peer looks idle", test_late_peer_looks_idle },
          { "late peer is tried again", test_late_peer_is_tried_again },
          { "load weight falls", test_load_weight_falls },
          { "new server looks fast", test_new_server_looks_fast },
          { "old report without slots", test_old_report_without_slots },
          { "report without slots is last",
            test_report_without_slots_is_last },
          CU_TEST_INFO_NULL };

  return suite_run ("peer_state", tests);
}
