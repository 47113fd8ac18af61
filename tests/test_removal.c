#include "tests/fleet.h"
#include "tests/suite.h"

#include "decide/certificate.h"
#include "decide/pick.h"
#include "decide/slice.h"

#define SERVED_AGAIN_USEC ((gint64)4000000) /* bound of the brief */

static struct fleet fleet; /* the nodes under test */

/* The owner dies with the log down: its first successor serves by certificate
   within the bound, under a higher fence, and goes on when the log is back. */
static void
test_takeover (void)
{
  gint64 died;
  struct fence before;

  fleet_init (&fleet, 6, TRUE);
  CU_ASSERT_EQUAL (fleet_server (&fleet, 0), 0);
  before = fleet_serve_right (&fleet, 0, 0).fence;
  fleet.log_down = TRUE;
  fleet_run (&fleet, 300000);
  fleet.up[0] = FALSE;
  died = fleet.now;
  CU_ASSERT_EQUAL (fleet_wait (&fleet, 0, SERVED_AGAIN_USEC), 1);
  CU_ASSERT_TRUE (fleet.now - died < SERVED_AGAIN_USEC);
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
test_chain (void)
{
  int i;

  fleet_init (&fleet, 9, TRUE);
  fleet_append (&fleet, make_slice (RECORD_ASSIGN, 1, 0, 1, 2, 4));
  fleet_run (&fleet, 100000);
  fleet.log_down = TRUE;
  fleet.up[0] = FALSE;
  CU_ASSERT_EQUAL (fleet_wait (&fleet, 1, SERVED_AGAIN_USEC), 1);
  for (i = 0; i < 9; i++)
    CU_ASSERT_FALSE (i != 1 && fleet_serve_right (&fleet, i, 1).may_serve);
  fleet.up[1] = FALSE;
  CU_ASSERT_EQUAL (fleet_wait (&fleet, 1, SERVED_AGAIN_USEC), 3);
  CU_ASSERT_EQUAL (fleet_serve_right (&fleet, 3, 1).fence.takeover_count, 2);
  CU_ASSERT_EQUAL (fleet.two_owners, 0);
  fleet_clear (&fleet);
}

/* A frozen owner returns after the takeover: it serves nothing, and ends when
   it reads that it is out.  */
static void
test_frozen_owner (void)
{
  fleet_init (&fleet, 6, TRUE);
  fleet.up[0] = FALSE;
  CU_ASSERT_EQUAL (fleet_wait (&fleet, 0, SERVED_AGAIN_USEC), 1);
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

/* One witness that hears nothing from a live holder gets no promises from the
   others, and the holder keeps its slices.  */
static void
test_one_deaf_witness (void)
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

/* A successor that has not folded up to the certificate's floor waits.  */
static void
test_floor_not_folded (void)
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

/* A successor that has folded a move of the slice leaves it to the log: rule
   3.  */
static void
test_move_folded (void)
{
  fleet_init (&fleet, 6, TRUE);
  fleet.is_lagging[0] = TRUE;
  fleet_append (&fleet, make_slice (RECORD_MOVE, 0,
                                    fleet_slice (&fleet, 0)->epoch, 5, 6, 0));
  fleet_run (&fleet, 300000);
  fleet.log_down = TRUE;
  fleet.up[0] = FALSE;
  CU_ASSERT_EQUAL (fleet_wait (&fleet, 0, SERVED_AGAIN_USEC), -1);
  CU_ASSERT_PTR_NOT_NULL (certificate_find (&fleet.cores[1], 1));
  fleet.log_down = FALSE;
  CU_ASSERT_EQUAL (fleet_wait (&fleet, 0, SERVED_AGAIN_USEC), 1);
  CU_ASSERT_EQUAL (fleet.two_owners, 0);
  fleet_clear (&fleet);
}

/* Kill the owner with the log down while a change of its successors is pending
   that it has not begun, or, if BEGUN is set, not ended.  */
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
  CU_ASSERT_EQUAL (fleet_wait (&fleet, 0, SERVED_AGAIN_USEC), 1);
  CU_ASSERT_EQUAL (fleet_serve_right (&fleet, 1, 0).fence.offset,
                   fleet_slice (&fleet, 1)->move_offset);
  fleet.log_down = FALSE;
  fleet_run (&fleet, 1000000);
  CU_ASSERT_EQUAL (fleet_server (&fleet, 0), 1);
  CU_ASSERT_EQUAL (fleet.two_owners, 0);
  fleet_clear (&fleet);
  kill_in_change (TRUE);
  CU_ASSERT_EQUAL (fleet_wait (&fleet, 0, SERVED_AGAIN_USEC), -1);
  fleet.log_down = FALSE;
  CU_ASSERT_EQUAL (fleet_wait (&fleet, 0, SERVED_AGAIN_USEC), 1);
  CU_ASSERT_EQUAL (fleet.two_owners, 0);
  fleet_clear (&fleet);
}

/* Where the server of the dead owner does not check fences, its successor
   waits for the longest request, with the log down and with the log up.  */
static void
test_unchecked (void)
{
  gint64 known;
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
      known = fleet.now;
      CU_ASSERT_EQUAL (fleet_wait (&fleet, 0, 2 * SERVED_AGAIN_USEC), 1);
      CU_ASSERT_TRUE (fleet.now - known >= 1950000);
      CU_ASSERT_TRUE (fleet.now - known <= 2100000);
      CU_ASSERT_EQUAL (fleet.two_owners, 0);
      fleet_clear (&fleet);
    }
}

/* The collector dies after it has told the successor, with the log down: when
   the log is back, others report the certificate.  */
static void
test_collector_dies (void)
{
  int i;

  fleet_init (&fleet, 8, TRUE);
  fleet.log_down = TRUE;
  fleet.up[0] = FALSE;
  CU_ASSERT_EQUAL (fleet_wait (&fleet, 0, SERVED_AGAIN_USEC), 1);
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

/* The node that CORE would send a request for a key of slice 0 to.  */
static guint64
picked (struct core *core)
{
  struct pick_history never = { .owner_unreachable = FALSE };
  const struct view_service *service
      = view_find_service (&core->view, MAKE_SERVICE);
  struct request request = { 0 };
  struct pick pick;
  guint n = 0;

  g_strlcpy (request.service, MAKE_SERVICE, sizeof request.service);
  do
    g_snprintf (request.key, sizeof request.key, "k%u", n++);
  while (slice_of_key (service, request.key) != 0);
  pick = pick_node (core, &request, &never, fleet.now);
  return pick.kind == PICK_PEER ? view_incarnation (&core->view, pick.node)
                                : 0;
}

/* Requests are sent to the successor while the log still names the owner, by
   each node that has been told of the certificate.  */
static void
test_probable_owner (void)
{
  int told = 0;
  int i;

  fleet_init (&fleet, 6, TRUE);
  for (i = 1; i < 6; i++)
    CU_ASSERT_EQUAL (picked (&fleet.cores[i]), 1);
  fleet.log_down = TRUE;
  fleet.up[0] = FALSE;
  fleet_wait (&fleet, 0, SERVED_AGAIN_USEC);
  fleet_run (&fleet, 200000);
  for (i = 2; i < 6; i++)
    if (certificate_find (&fleet.cores[i], 1) != NULL)
      {
        told++;
        CU_ASSERT_EQUAL (picked (&fleet.cores[i]), 2);
      }
  CU_ASSERT_TRUE (told > 0);
  fleet_clear (&fleet);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "takeover", test_takeover },
                                 { "chain", test_chain },
                                 { "frozen owner", test_frozen_owner },
                                 { "one deaf witness", test_one_deaf_witness },
                                 { "floor not folded", test_floor_not_folded },
                                 { "move folded", test_move_folded },
                                 { "change pending", test_change_pending },
                                 { "unchecked", test_unchecked },
                                 { "collector dies", test_collector_dies },
                                 { "probable owner", test_probable_owner },
                                 CU_TEST_INFO_NULL };

  return suite_run ("removal", tests);
}
