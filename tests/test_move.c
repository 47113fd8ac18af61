#include "tests/fleet.h"
#include "tests/suite.h"

#include "decide/inflight.h"
#include "decide/slice.h"

static struct fleet fleet; /* the nodes under test */

/* Put a record on the log that moves slice 0 to node TO with the successors
   SUCCESSOR and 3.  */
static guint64
move_to (guint64 to, guint64 successor)
{
  return fleet_append (&fleet, make_slice (RECORD_MOVE, 0,
                                           fleet_slice (&fleet, 0)->epoch, to,
                                           successor, 3));
}

/* Tell whether node I has been told that the move at OFFSET is released.  */
static gboolean
is_released (int i)
{
  return moves_was_released (&fleet.cores[i], fleet_slice (&fleet, i));
}

/* A move ends with the receiver as owner under rising fences.  */
static void
test_move (void)
{
  guint64 move;
  struct fence fence;

  fleet_init (&fleet, 6, TRUE);
  move = move_to (5, 6);
  fleet.refused_kind = RECORD_MOVED;
  fleet_run (&fleet, 1000000);
  CU_ASSERT_EQUAL (fleet_server (&fleet, 0), 4);
  fence = fleet_serve_right (&fleet, 4, 0).fence;
  CU_ASSERT_EQUAL (fence.offset, move);
  fleet_append (&fleet, make_slice (RECORD_MOVED, 0, move, 5, 0, 0));
  fleet_run (&fleet, 500000);
  CU_ASSERT_EQUAL (fleet_server (&fleet, 0), 4);
  CU_ASSERT_TRUE (fence_compare (fleet_serve_right (&fleet, 4, 0).fence, fence)
                  > 0);
  CU_ASSERT_EQUAL (
      view_incarnation (&fleet.cores[2].view, fleet_slice (&fleet, 2)->owner),
      5);
  CU_ASSERT_EQUAL (fleet.two_owners, 0);
  fleet_clear (&fleet);
}

/* The receiver records the move itself.  */
static void
test_moved (void)
{
  fleet_init (&fleet, 6, TRUE);
  move_to (5, 6);
  fleet_run (&fleet, 1500000);
  CU_ASSERT_EQUAL (fleet_server (&fleet, 0), 4);
  CU_ASSERT_EQUAL (fleet_slice (&fleet, 2)->move_offset, 0);
  CU_ASSERT_EQUAL (
      view_incarnation (&fleet.cores[2].view, fleet_slice (&fleet, 2)->owner),
      5);
  fleet_clear (&fleet);
}

/* Rule 1: while a successor has not folded the move the owner goes on, and a
   death of the owner gives the slice to that successor alone.  */
static void
test_successor_lags (void)
{
  fleet_init (&fleet, 6, TRUE);
  fleet.is_lagging[1] = TRUE;
  move_to (5, 6);
  fleet_run (&fleet, 2000000);
  CU_ASSERT_EQUAL (fleet_server (&fleet, 0), 0);
  CU_ASSERT_FALSE (is_released (4));
  fleet.up[0] = FALSE;
  CU_ASSERT_EQUAL (fleet_wait (&fleet, 0, 4000000), 1);
  fleet_run (&fleet, 2000000);
  CU_ASSERT_EQUAL (fleet_server (&fleet, 0), 1);
  CU_ASSERT_EQUAL (fleet.two_owners, 0);
  fleet_clear (&fleet);
}

/* Rule 1 over two moves: the floor does not pass a move that has not begun,
   though a later one could.  */
static void
test_moves_in_order (void)
{
  guint64 epoch;
  guint64 first;

  fleet_init (&fleet, 6, TRUE);
  epoch = fleet_append (&fleet, make_slice (RECORD_ASSIGN, 1, 0, 1, 4, 3));
  fleet_run (&fleet, 200000);
  fleet.is_lagging[1] = TRUE;
  first = move_to (5, 6);
  fleet_append (&fleet, make_slice (RECORD_MOVE, 1, epoch, 5, 6, 3));
  fleet_run (&fleet, 2000000);
  CU_ASSERT_TRUE (fleet.cores[0].lease.floor < first);
  CU_ASSERT_EQUAL (fleet_server (&fleet, 1), 0);
  fleet.is_lagging[1] = FALSE;
  fleet_run (&fleet, 1500000);
  CU_ASSERT_EQUAL (fleet_server (&fleet, 0), 4);
  CU_ASSERT_EQUAL (fleet_server (&fleet, 1), 4);
  CU_ASSERT_EQUAL (fleet.two_owners, 0);
  fleet_clear (&fleet);
}

/* Rule 2: without the acks of a majority the receiver is told nothing, though
   the giving-up has begun.  */
static void
test_floor_not_acked (void)
{
  int i;

  fleet_init (&fleet, 6, TRUE);
  for (i = 1; i < 6; i++)
    if (fleet_is_witness (&fleet, 1, i))
      witness_find (&fleet.cores[i].witness, 1)->has_promised = TRUE;
  CU_ASSERT_EQUAL (fleet_server (&fleet, 0), 0);
  move_to (5, 6);
  fleet_run (&fleet, 1000000);
  CU_ASSERT_EQUAL (fleet.cores[0].lease.floor,
                   fleet_slice (&fleet, 0)->move_offset);
  CU_ASSERT_FALSE (is_released (4));
  CU_ASSERT_EQUAL (fleet.two_owners, 0);
  fleet_clear (&fleet);
}

/* Work in flight ends before the receiver is told.  */
static void
test_in_flight (void)
{
  struct handle h = handle_make (1, 1);
  struct inflight *inflight;
  const struct view_service *service;
  guint n = 0;

  fleet_init (&fleet, 6, TRUE);
  service = view_find_service (&fleet.cores[0].view, MAKE_SERVICE);
  inflight = table_mirror (&fleet.cores[0].requests, h);
  inflight->phase = INFLIGHT_RUNNING;
  g_strlcpy (inflight->request.service, MAKE_SERVICE, NAME_SIZE);
  do
    g_snprintf (inflight->request.key, KEY_SIZE, "k%u", n++);
  while (slice_of_key (service, inflight->request.key) != 0);
  move_to (5, 6);
  fleet_run (&fleet, 1000000);
  CU_ASSERT_EQUAL (fleet_server (&fleet, 0), -1);
  CU_ASSERT_FALSE (is_released (4));
  table_remove (&fleet.cores[0].requests, h);
  CU_ASSERT_EQUAL (fleet_wait (&fleet, 0, 500000), 4);
  CU_ASSERT_EQUAL (fleet.two_owners, 0);
  fleet_clear (&fleet);
}

/* A move to the owner changes the successors and is served throughout.  */
static void
test_successors_only (void)
{
  guint i;

  fleet_init (&fleet, 6, TRUE);
  move_to (1, 5);
  for (i = 0; i < 150; i++)
    {
      fleet_run (&fleet, FLEET_STEP_USEC);
      CU_ASSERT_EQUAL (fleet_server (&fleet, 0), 0);
    }
  CU_ASSERT_EQUAL (fleet_slice (&fleet, 0)->move_offset, 0);
  CU_ASSERT_EQUAL (view_incarnation (&fleet.cores[0].view,
                                     fleet_slice (&fleet, 0)->successors[0]),
                   5);
  CU_ASSERT_EQUAL (fleet.two_owners, 0);
  fleet_clear (&fleet);
}

/* The receiver dies after it began to serve, before it could record that: the
   slice goes to the next receiver, at last back to the owner, each under a
   higher fence.  */
static void
test_receiver_dies (void)
{
  struct fence first;
  struct fence second;

  fleet_init (&fleet, 9, TRUE);
  fleet.refused_kind = RECORD_MOVED;
  move_to (5, 6);
  CU_ASSERT_EQUAL (fleet_server (&fleet, 0), 0);
  fleet_run (&fleet, 1000000);
  CU_ASSERT_EQUAL (fleet_server (&fleet, 0), 4);
  first = fleet_serve_right (&fleet, 4, 0).fence;
  fleet.up[4] = FALSE;
  fleet_run (&fleet, 100000);
  CU_ASSERT_EQUAL (fleet_wait (&fleet, 0, 5000000), 5);
  second = fleet_serve_right (&fleet, 5, 0).fence;
  CU_ASSERT_TRUE (fence_compare (second, first) > 0);
  fleet.up[5] = FALSE;
  CU_ASSERT_EQUAL (fleet_wait (&fleet, 0, 5000000), 2);
  fleet.up[2] = FALSE;
  CU_ASSERT_EQUAL (fleet_wait (&fleet, 0, 5000000), 0);
  CU_ASSERT_TRUE (
      fence_compare (fleet_serve_right (&fleet, 0, 0).fence, second) > 0);
  CU_ASSERT_EQUAL (fleet.two_owners, 0);
  fleet_clear (&fleet);
}

/* The owner restarts before it has released the slice: its receiver declines
   it, and the successor serves.  One that was released goes on.  */
static void
test_owner_restarts (void)
{
  int i;

  fleet_init (&fleet, 6, TRUE);
  for (i = 1; i < 6; i++)
    if (fleet_is_witness (&fleet, 1, i))
      witness_find (&fleet.cores[i].witness, 1)->has_promised = TRUE;
  fleet.refused_kind = RECORD_REMOVED;
  move_to (5, 6);
  fleet_run (&fleet, 300000);
  fleet_restart (&fleet, 0);
  fleet_run (&fleet, 1000000);
  CU_ASSERT_EQUAL (fleet_server (&fleet, 0), 1);
  CU_ASSERT_EQUAL (fleet.two_owners, 0);
  fleet_clear (&fleet);
  fleet_init (&fleet, 6, TRUE);
  fleet.refused_kind = RECORD_MOVED;
  move_to (5, 6);
  fleet_run (&fleet, 1000000);
  fleet_restart (&fleet, 0);
  fleet_run (&fleet, 300000);
  CU_ASSERT_EQUAL (fleet_server (&fleet, 0), 4);
  CU_ASSERT_EQUAL (fleet.two_owners, 0);
  fleet_clear (&fleet);
}

/* The owner dies after the receiver began to serve: the receiver goes on, with
   the log down and then up.  */
static void
test_owner_dies (void)
{
  guint64 move;

  fleet_init (&fleet, 9, TRUE);
  fleet.refused_kind = RECORD_MOVED;
  move = move_to (5, 6);
  fleet_run (&fleet, 1000000);
  fleet.log_down = TRUE;
  fleet.up[0] = FALSE;
  fleet_run (&fleet, 4000000);
  CU_ASSERT_EQUAL (fleet_server (&fleet, 0), 4);
  CU_ASSERT_EQUAL (fleet_serve_right (&fleet, 4, 0).fence.offset, move);
  fleet.log_down = FALSE;
  fleet_run (&fleet, 2000000);
  CU_ASSERT_EQUAL (fleet_server (&fleet, 0), 4);
  CU_ASSERT_EQUAL (
      view_incarnation (&fleet.cores[2].view, fleet_slice (&fleet, 2)->owner),
      5);
  CU_ASSERT_EQUAL (fleet.two_owners, 0);
  fleet_clear (&fleet);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "move", test_move },
                                 { "moved", test_moved },
                                 { "successor lags", test_successor_lags },
                                 { "moves in order", test_moves_in_order },
                                 { "floor not acked", test_floor_not_acked },
                                 { "in flight", test_in_flight },
                                 { "successors only", test_successors_only },
                                 { "receiver dies", test_receiver_dies },
                                 { "owner restarts", test_owner_restarts },
                                 { "owner dies", test_owner_dies },
                                 CU_TEST_INFO_NULL };

  return suite_run ("move", tests);
}
