#include "serve/peer_state.h"

#include "tests/suite.h"

#define START ((gint64)100000000)
#define MSEC ((gint64)1000)

static const struct peer_query near_by = { .same_zone = TRUE };

/* A node with 6 slots that said at START that RUNNING and WAITING requests are
   there, each of which takes 100 ms.  */
static struct peer_state
told (guint32 running, guint32 waiting)
{
  struct peer_state peer_state = { 0 };
  struct load_report load = { .running = running,
                              .waiting = waiting,
                              .slots = 6,
                              .mean_run_usec = 100 * MSEC };

  peer_state_on_load (&peer_state, &load, START);
  return peer_state;
}

/* A node that answers late, so that what it said of its load is old, does not
   look better than one that is known to be full.  */
static void
test_late_node_looks_idle (void)
{
  struct peer_state late = told (6, 6);
  struct peer_state full = told (6, 6);
  gint64 now = START + 1000 * MSEC;

  peer_state_on_sent (&late, START + 100 * MSEC);
  peer_state_on_load (&full, &full.load, now);
  CU_ASSERT_TRUE (peer_state_cost (&late, &near_by, now)
                  > peer_state_cost (&full, &near_by, now));
  peer_state_on_abandoned (&late, now);
  CU_ASSERT_EQUAL (late.in_flight, 0);
  CU_ASSERT_TRUE (peer_state_cost (&late, &near_by, now + 100 * MSEC)
                  > peer_state_cost (&full, &near_by, now + 100 * MSEC));
}

/* It is tried again after a while, and counts as before once it answers.  */
static void
test_late_node_is_tried_again (void)
{
  struct peer_state late = told (6, 6);
  struct peer_state full = told (6, 6);
  gint64 now = START + 1500 * MSEC;
  gint64 before;

  peer_state_on_sent (&late, START);
  peer_state_on_abandoned (&late, now);
  now += 1500 * MSEC;
  peer_state_on_load (&full, &full.load, now);
  CU_ASSERT_TRUE (peer_state_cost (&late, &near_by, now)
                  < peer_state_cost (&full, &near_by, now));
  before = peer_state_cost (&late, &near_by, now);
  peer_state_on_sent (&late, now);
  peer_state_on_answer (&late, now + 10 * MSEC);
  CU_ASSERT_EQUAL (late.unanswered_since, 0);
  CU_ASSERT_TRUE (peer_state_cost (&late, &near_by, now)
                  < before + 200 * MSEC);
}

/* What a node said of its load tells less the older it is.  */
static void
test_load_fades (void)
{
  struct peer_state busy = told (6, 6);
  struct peer_state idle = told (0, 0);
  gint64 later = START + 1000 * MSEC;

  CU_ASSERT_TRUE (peer_state_cost (&busy, &near_by, later)
                  < peer_state_cost (&busy, &near_by, START));
  CU_ASSERT_TRUE (peer_state_cost (&idle, &near_by, later)
                  > peer_state_cost (&idle, &near_by, START));
  CU_ASSERT_TRUE (peer_state_cost (&busy, &near_by, later)
                  > peer_state_cost (&idle, &near_by, later));
  later += 10000 * MSEC;
  CU_ASSERT_EQUAL (peer_state_cost (&busy, &near_by, later),
                   peer_state_cost (&idle, &near_by, later));
}

/* A server that has told no run time yet is taken for an average one, not for
   a fast one.  */
static void
test_new_server_looks_fast (void)
{
  struct peer_state fresh = told (6, 0);
  struct peer_state average = told (6, 0);
  struct peer_query ask
      = { .same_zone = TRUE, .default_run_usec = 300 * MSEC };

  fresh.load.mean_run_usec = 0;
  average.load.mean_run_usec = 300 * MSEC;
  CU_ASSERT_EQUAL (peer_state_cost (&fresh, &ask, START),
                   peer_state_cost (&average, &ask, START));
}

int
main (void)
{
  CU_TestInfo tests[]
      = { { "late node looks idle", test_late_node_looks_idle },
          { "late node is tried again", test_late_node_is_tried_again },
          { "load fades", test_load_fades },
          { "new server looks fast", test_new_server_looks_fast },
          CU_TEST_INFO_NULL };

  return suite_run ("upstream", tests);
}
