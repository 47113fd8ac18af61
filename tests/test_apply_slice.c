#include "tests/slice_setup.h"
#include "tests/suite.h"

/* Return the incarnation that is to receive slice 0, 0 for none.  */
static guint64
receiver (const struct setup *setup)
{
  return view_incarnation (&setup->view, setup->slice->receiver);
}

/* Without a pending move the first successor that is alive gets the slice.  */
static void
test_removed (void)
{
  struct setup setup;

  setup_init (&setup);
  make_apply (&setup.view, make_removed (2, 0, REMOVAL_CERTIFICATE));
  make_apply (&setup.view, make_removed (1, 0, REMOVAL_CERTIFICATE));
  CU_ASSERT_EQUAL (owner (&setup), 3);
  make_apply (&setup.view, make_removed (3, 0, REMOVAL_CERTIFICATE));
  CU_ASSERT_EQUAL (owner (&setup), 0);
  view_clear (&setup.view);
}

/* A floor at or above the move gives the slice to the receiver of the move, a
   lower floor to the successor (rule 4 of the protocol).  */
static void
test_removed_floor (void)
{
  struct setup setup;
  guint64 move;

  setup_init (&setup);
  move = begin_move (&setup);
  make_apply (&setup.view, make_removed (1, move, REMOVAL_CERTIFICATE));
  CU_ASSERT_EQUAL (owner (&setup), 4);
  CU_ASSERT_EQUAL (setup.slice->move_offset, 0);
  view_clear (&setup.view);
  setup_init (&setup);
  move = begin_move (&setup);
  make_apply (&setup.view, make_removed (1, move - 1, REMOVAL_CERTIFICATE));
  CU_ASSERT_EQUAL (owner (&setup), 2);
  view_clear (&setup.view);
}

/* If a move only changes the successors, the owner's removal passes the slice
   to the old successors.  */
static void
test_removed_successors (void)
{
  struct setup setup;
  guint64 move;

  setup_init (&setup);
  move = make_apply (&setup.view,
                     make_slice (RECORD_MOVE, 0, setup.slice->epoch, 1, 5, 4));
  make_apply (&setup.view, make_removed (1, move, REMOVAL_CERTIFICATE));
  CU_ASSERT_EQUAL (owner (&setup), 2);
  view_clear (&setup.view);
}

/* A node that an operator declares dead may have released the slice, so the
   receiver gets it.  */
static void
test_declared_dead (void)
{
  struct setup setup;

  setup_init (&setup);
  begin_move (&setup);
  make_apply (&setup.view, make_removed (1, 0, REMOVAL_DECLARED));
  CU_ASSERT_EQUAL (owner (&setup), 4);
  view_clear (&setup.view);
}

/* When its receiver is removed, a pending move is redirected to the next
   receiver, and at last back to the owner, each time as a new move.  */
static void
test_receiver_removed (void)
{
  struct setup setup;
  guint64 move;
  guint64 at;

  setup_init (&setup);
  move = begin_move (&setup);
  at = make_apply (&setup.view, make_removed (4, 0, REMOVAL_CERTIFICATE));
  CU_ASSERT_EQUAL (receiver (&setup), 5);
  CU_ASSERT_EQUAL (setup.slice->move_offset, at);
  make_apply (&setup.view, make_slice (RECORD_MOVED, 0, move, 4, 0, 0));
  CU_ASSERT_EQUAL (owner (&setup), 1);
  make_apply (&setup.view, make_removed (5, 0, REMOVAL_CERTIFICATE));
  CU_ASSERT_EQUAL (receiver (&setup), 2);
  at = make_apply (&setup.view, make_removed (2, 0, REMOVAL_CERTIFICATE));
  CU_ASSERT_EQUAL (receiver (&setup), 1);
  CU_ASSERT_EQUAL (setup.slice->move_offset, at);
  make_apply (&setup.view, make_slice (RECORD_MOVED, 0, at, 1, 0, 0));
  CU_ASSERT_EQUAL (owner (&setup), 1);
  CU_ASSERT_EQUAL (setup.slice->move_offset, 0);
  view_clear (&setup.view);
}

/* Only live members of the service can receive a slice.  */
static void
test_move_dropped (void)
{
  struct setup setup;
  struct record join = make_join (6);
  struct record leaving
      = { .version = RECORD_VERSION, .kind = RECORD_LEAVING };

  setup_init (&setup);
  g_strlcpy (join.body.join.service, "kasir", sizeof join.body.join.service);
  make_apply (&setup.view, join);
  make_apply (&setup.view,
              make_slice (RECORD_MOVE, 0, setup.slice->epoch, 6, 0, 0));
  CU_ASSERT_EQUAL (setup.slice->move_offset, 0);
  leaving.body.leaving.incarnation = 4;
  make_apply (&setup.view, leaving);
  begin_move (&setup);
  CU_ASSERT_EQUAL (setup.slice->move_offset, 0);
  make_apply (&setup.view,
              make_slice (RECORD_MOVE, 0, setup.slice->epoch + 1, 5, 0, 0));
  CU_ASSERT_EQUAL (setup.slice->move_offset, 0);
  view_clear (&setup.view);
}

/* Apply the join of node 9 at the address of node 1, which names REPLACED as
   the node that it replaces.  */
static guint64
restart_first (struct setup *setup, guint64 replaced)
{
  struct record join = make_join (9);

  join.body.join.peer_address = make_address (1);
  join.body.join.replaced_incarnation = replaced;
  return make_apply (&setup->view, join);
}

/* A restart passes slices on at once, except those with a pending move: only
   the witnesses know whether they were released.  */
static void
test_restart (void)
{
  struct setup setup;
  guint64 move;

  setup_init (&setup);
  restart_first (&setup, 1);
  CU_ASSERT_EQUAL (owner (&setup), 2);
  CU_ASSERT_TRUE (handle_is_set (view_find_node (&setup.view, 9)));
  view_clear (&setup.view);
  setup_init (&setup);
  move = begin_move (&setup);
  restart_first (&setup, 1);
  CU_ASSERT_EQUAL (owner (&setup), 1);
  make_apply (&setup.view, make_removed (1, move, REMOVAL_CERTIFICATE));
  CU_ASSERT_EQUAL (owner (&setup), 4);
  view_clear (&setup.view);
}

/* Only the receiver of a move may report that the slice was never
   released.  */
static void
test_declined (void)
{
  struct setup setup;
  struct record record;
  guint64 move;

  setup_init (&setup);
  move = begin_move (&setup);
  record = make_slice (RECORD_MOVED, 0, move, 0, 0, 0);
  record.writer = 4;
  make_apply (&setup.view, record);
  CU_ASSERT_EQUAL (owner (&setup), 1);
  restart_first (&setup, 1);
  record = make_slice (RECORD_MOVED, 0, move, 0, 0, 0);
  record.writer = 5;
  make_apply (&setup.view, record);
  CU_ASSERT_EQUAL (owner (&setup), 1);
  record = make_slice (RECORD_MOVED, 0, move, 0, 0, 0);
  record.writer = 4;
  make_apply (&setup.view, record);
  CU_ASSERT_EQUAL (owner (&setup), 2);
  view_clear (&setup.view);
}

/* When the receiver is removed too, nobody was told that the slice is
   released.  */
static void
test_restart_both (void)
{
  struct setup setup;

  setup_init (&setup);
  begin_move (&setup);
  restart_first (&setup, 1);
  make_apply (&setup.view, make_removed (4, 0, REMOVAL_CERTIFICATE));
  CU_ASSERT_EQUAL (owner (&setup), 2);
  CU_ASSERT_EQUAL (setup.slice->move_offset, 0);
  view_clear (&setup.view);
}

/* A join that does not name the current node at its address was appended late
   by an earlier process, and replaces no node.  */
static void
test_late_join (void)
{
  struct setup setup;

  setup_init (&setup);
  restart_first (&setup, 0);
  CU_ASSERT_EQUAL (owner (&setup), 1);
  CU_ASSERT_FALSE (handle_is_set (view_find_node (&setup.view, 9)));
  view_clear (&setup.view);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "removed", test_removed },
          { "removed floor", test_removed_floor },
          { "removed successors", test_removed_successors },
          { "declared dead", test_declared_dead },
          { "receiver removed", test_receiver_removed },
          { "move dropped", test_move_dropped },
          { "restart", test_restart },
          { "declined", test_declined },
          { "restart both", test_restart_both },
          { "late join", test_late_join },
          CU_TEST_INFO_NULL };

  return suite_run ("apply_slice", tests);
}
