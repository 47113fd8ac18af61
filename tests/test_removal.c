#include "tests/fleet.h"
#include "tests/suite.h"

#include "decide/certificate.h"
#include "decide/pick.h"
#include "decide/slice.h"

#define TAKEOVER_MAX_USEC                                                     \
  ((gint64)4000000) /* longest time without an owner that serves */

static struct fleet fleet; /* the nodes under test */

/* The owner dies with the log down: its first successor serves by certificate
   within the bound, under a higher fence, and continues to when the log is
   back.  */
static void
test_takeover (void)
{
  gint64 died_at;
  struct fence before;

  fleet_init (&fleet, 6, TRUE);
  CU_ASSERT_EQUAL (fleet_server (&fleet, 0), 0);
  before = fleet_serve_right (&fleet, 0, 0).fence;
  fleet.log_down = TRUE;
  fleet_run (&fleet, 300000);
  fleet.up[0] = FALSE;
  died_at = fleet.now;
  CU_ASSERT_EQUAL (fleet_wait (&fleet, 0, TAKEOVER_MAX_USEC), 1);
  CU_ASSERT_TRUE (fleet.now - died_at < TAKEOVER_MAX_USEC);
  CU_ASSERT_TRUE (
      fence_compare (fleet_serve_right (&fleet, 1, 0).fence, before) > 0);
  CU_ASSERT_EQUAL (fleet_serve_right (&fleet, 1, 0).fence.takeover_count, 1);
  CU_ASSERT_EQUAL (fleet.takeovers, 1);
  fleet.log_down = FALSE;
  fleet_run (&fleet, 1000000);
  CU_ASSERT_EQUAL (fleet_server (&fleet, 0), 1);
  CU_ASSERT_EQUAL (fleet_serve_right (&fleet, 1, 0).fence.takeover_count, 0);
  CU_ASSERT_EQUAL (
      view_incarnation (&fleet.cores[5].view, fleet_slice (&fleet, 5)->owner),
      2);
  CU_ASSERT_EQUAL (fleet.two_owners, 0);
  fleet_clear (&fleet);
}

/* A second successor needs a certificate for the first one too.  Node 4 keeps
   a majority of its witnesses when nodes 1 and 2 die.  */
static void
test_second_successor (void)
{
  int i;

  fleet_init (&fleet, 9, TRUE);
  fleet_append (&fleet, make_slice (RECORD_ASSIGN, 1, 0, 1, 2, 4));
  fleet_run (&fleet, 100000);
  fleet.log_down = TRUE;
  fleet.up[0] = FALSE;
  CU_ASSERT_EQUAL (fleet_wait (&fleet, 1, TAKEOVER_MAX_USEC), 1);
  for (i = 0; i < 9; i++)
    CU_ASSERT_FALSE (i != 1 && fleet_serve_right (&fleet, i, 1).may_serve);
  fleet.up[1] = FALSE;
  CU_ASSERT_EQUAL (fleet_wait (&fleet, 1, TAKEOVER_MAX_USEC), 3);
  CU_ASSERT_EQUAL (fleet_serve_right (&fleet, 3, 1).fence.takeover_count, 2);
  CU_ASSERT_EQUAL (fleet.two_owners, 0);
  fleet_clear (&fleet);
}

/* An owner that was suspended returns after the takeover: it serves nothing,
   and exits when it reads that it is removed.  */
static void
test_frozen_owner (void)
{
  fleet_init (&fleet, 6, TRUE);
  fleet.up[0] = FALSE;
  CU_ASSERT_EQUAL (fleet_wait (&fleet, 0, TAKEOVER_MAX_USEC), 1);
  fleet.is_lagging[0] = TRUE;
  fleet.up[0] = TRUE;
  CU_ASSERT_FALSE (fleet_serve_right (&fleet, 0, 0).may_serve);
  fleet_run (&fleet, 3000000);
  CU_ASSERT_FALSE (fleet_serve_right (&fleet, 0, 0).may_serve);
  CU_ASSERT_FALSE (fleet.exit_requested[0]);
  fleet.is_lagging[0] = FALSE;
  fleet_run (&fleet, 200000);
  CU_ASSERT_TRUE (fleet.exit_requested[0]);
  CU_ASSERT_EQUAL (fleet.two_owners, 0);
  fleet_clear (&fleet);
}

/* A single witness that receives nothing from a live holder gets no promises
   from the others, and the holder keeps its slices.  */
static void
test_isolated_witness (void)
{
  int i;

  fleet_init (&fleet, 6, TRUE);
  for (i = 0; i < 6; i++)
    if (fleet_is_witness (&fleet, 1, i))
      break;
  CU_ASSERT_NOT_EQUAL_FATAL (i, 6);
  fleet.cut[0][i] = TRUE;
  fleet_run (&fleet, 6000000);
  CU_ASSERT_EQUAL (fleet_server (&fleet, 0), 0);
  CU_ASSERT_EQUAL (fleet.two_owners, 0);
  fleet_clear (&fleet);
}

/* A successor that has not applied the log up to the certificate's floor
   waits.  */
static void
test_floor_not_applied (void)
{
  fleet_init (&fleet, 6, TRUE);
  fleet.is_lagging[1] = TRUE;
  lease_raise_floor (&fleet.cores[0].lease, fleet.log->len + 1);
  fleet_append (&fleet, make_hot ("none", TRUE, 0));
  fleet_run (&fleet, 500000);
  fleet.up[0] = FALSE;
  fleet_run (&fleet, 3000000);
  CU_ASSERT_PTR_NOT_NULL (certificate_find (&fleet.cores[1], 1));
  CU_ASSERT_FALSE (fleet_serve_right (&fleet, 1, 0).may_serve);
  fleet.is_lagging[1] = FALSE;
  fleet_run (&fleet, 200000);
  CU_ASSERT_TRUE (fleet_serve_right (&fleet, 1, 0).may_serve);
  CU_ASSERT_EQUAL (fleet.two_owners, 0);
  fleet_clear (&fleet);
}

/* A successor that has applied a move of the slice leaves the takeover to the
   log (rule 3 of moves).  */
static void
test_move_applied (void)
{
  fleet_init (&fleet, 6, TRUE);
  fleet.is_lagging[0] = TRUE;
  fleet_append (&fleet, make_slice (RECORD_MOVE, 0,
                                    fleet_slice (&fleet, 0)->epoch, 5, 6, 0));
  fleet_run (&fleet, 300000);
  fleet.log_down = TRUE;
  fleet.up[0] = FALSE;
  CU_ASSERT_EQUAL (fleet_wait (&fleet, 0, TAKEOVER_MAX_USEC), -1);
  CU_ASSERT_PTR_NOT_NULL (certificate_find (&fleet.cores[1], 1));
  fleet.log_down = FALSE;
  CU_ASSERT_EQUAL (fleet_wait (&fleet, 0, TAKEOVER_MAX_USEC), 1);
  CU_ASSERT_EQUAL (fleet.two_owners, 0);
  fleet_clear (&fleet);
}

/* Kill the owner with the log down while a change of its successors is
   pending: not begun, or with BEGUN begun but not ended.  */
static void
kill_in_change (gboolean begun)
{
  fleet_init (&fleet, 6, TRUE);
  fleet.refused_kind = RECORD_MOVED;
  fleet.is_lagging[0] = !begun;
  fleet_append (&fleet, make_slice (RECORD_MOVE, 0,
                                    fleet_slice (&fleet, 0)->epoch, 1, 5, 6));
  fleet_run (&fleet, 1000000);
  fleet.log_down = TRUE;
  fleet.up[0] = FALSE;
}

/* A change of successors that a majority has not acked does not keep the old
   successor from taking over; one that may have been recorded does.  */
static void
test_change_pending (void)
{
  kill_in_change (FALSE);
  CU_ASSERT_EQUAL (fleet_wait (&fleet, 0, TAKEOVER_MAX_USEC), 1);
  CU_ASSERT_EQUAL (fleet_serve_right (&fleet, 1, 0).fence.offset,
                   fleet_slice (&fleet, 1)->move_offset);
  fleet.log_down = FALSE;
  fleet_run (&fleet, 1000000);
  CU_ASSERT_EQUAL (fleet_server (&fleet, 0), 1);
  CU_ASSERT_EQUAL (fleet.two_owners, 0);
  fleet_clear (&fleet);
  kill_in_change (TRUE);
  CU_ASSERT_EQUAL (fleet_wait (&fleet, 0, TAKEOVER_MAX_USEC), -1);
  fleet.log_down = FALSE;
  CU_ASSERT_EQUAL (fleet_wait (&fleet, 0, TAKEOVER_MAX_USEC), 1);
  CU_ASSERT_EQUAL (fleet.two_owners, 0);
  fleet_clear (&fleet);
}

/* If the server of the dead owner does not check fences, the successor waits
   for the longest request, with the log down and with the log up.  */
static void
test_unchecked (void)
{
  gint64 known_at;
  int down;

  for (down = 0; down < 2; down++)
    {
      fleet_init (&fleet, 6, FALSE);
      fleet.log_down = down;
      fleet_run (&fleet, 100000);
      fleet.up[0] = FALSE;
      while (certificate_find (&fleet.cores[1], 1) == NULL
             && !view_was_removed (&fleet.cores[1].view, 1))
        fleet_run (&fleet, FLEET_STEP_USEC);
      known_at = fleet.now;
      CU_ASSERT_EQUAL (fleet_wait (&fleet, 0, 2 * TAKEOVER_MAX_USEC), 1);
      CU_ASSERT_TRUE (fleet.now - known_at >= 1950000);
      CU_ASSERT_TRUE (fleet.now - known_at <= 2100000);
      CU_ASSERT_EQUAL (fleet.two_owners, 0);
      fleet_clear (&fleet);
    }
}

/* The collector dies after it has told the successor, with the log down.  Once
   the log is back, other nodes report the certificate.  */
static void
test_collector_dies (void)
{
  int i;

  fleet_init (&fleet, 8, TRUE);
  fleet.log_down = TRUE;
  fleet.up[0] = FALSE;
  CU_ASSERT_EQUAL (fleet_wait (&fleet, 0, TAKEOVER_MAX_USEC), 1);
  for (i = 2; i < 8; i++)
    {
      const struct certificate *certificate
          = certificate_find (&fleet.cores[i], 1);
      if (certificate != NULL && certificate->is_collected_here)
        fleet.up[i] = FALSE;
    }
  fleet_run (&fleet, 500000);
  fleet.log_down = FALSE;
  fleet_run (&fleet, 4000000);
  CU_ASSERT_TRUE (view_was_removed (&fleet.cores[1].view, 1));
  CU_ASSERT_EQUAL (fleet_server (&fleet, 0), 1);
  CU_ASSERT_EQUAL (fleet.two_owners, 0);
  fleet_clear (&fleet);
}

/* Return the other node that CORE would send a request for a key of slice 0
   to, 0 if there is none.  */
static guint64
picked (struct core *core)
{
  struct pick_history history = { .owner_unreachable = FALSE };
  const struct view_service *service
      = view_find_service (&core->view, MAKE_SERVICE);
  struct request request = { 0 };
  struct pick pick;
  guint n = 0;

  g_strlcpy (request.service, MAKE_SERVICE, sizeof request.service);
  do
    g_snprintf (request.key, sizeof request.key, "k%u", n++);
  while (slice_of_key (service, request.key) != 0);
  pick = pick_node (core, &request, &history, fleet.now);
  return pick.kind == PICK_PEER ? view_incarnation (&core->view, pick.node)
                                : 0;
}

/* Each node that knows the certificate sends requests to the successor while
   the log still names the owner.  */
static void
test_probable_owner (void)
{
  int informed = 0;
  int i;

  fleet_init (&fleet, 6, TRUE);
  for (i = 1; i < 6; i++)
    CU_ASSERT_EQUAL (picked (&fleet.cores[i]), 1);
  fleet.log_down = TRUE;
  fleet.up[0] = FALSE;
  fleet_wait (&fleet, 0, TAKEOVER_MAX_USEC);
  fleet_run (&fleet, 200000);
  for (i = 2; i < 6; i++)
    if (certificate_find (&fleet.cores[i], 1) != NULL)
      {
        informed++;
        CU_ASSERT_EQUAL (picked (&fleet.cores[i]), 2);
      }
  CU_ASSERT_TRUE (informed > 0);
  fleet_clear (&fleet);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "takeover", test_takeover },
          { "second successor", test_second_successor },
          { "frozen owner", test_frozen_owner },
          { "isolated witness", test_isolated_witness },
          { "floor not applied", test_floor_not_applied },
          { "move applied", test_move_applied },
          { "change pending", test_change_pending },
          { "unchecked", test_unchecked },
          { "collector dies", test_collector_dies },
          { "probable owner", test_probable_owner },
          CU_TEST_INFO_NULL };

  return suite_run ("removal", tests);
}
