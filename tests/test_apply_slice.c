#include "tests/slice_setup.h"
#include "tests/suite.h"

/* The incarnation that is to receive slice 0, 0 for none.  */
static guint64
receiver (const struct setting *setting)
{
  return view_incarnation (&setting->view, setting->slice->receiver);
}

/* Without a move the first successor that is alive inherits.  */
static void
test_out (void)
{
  struct setting setting;

  setting_init (&setting);
  make_apply (&setting.view, make_removed (2, 0, REMOVAL_CERTIFICATE));
  make_apply (&setting.view, make_removed (1, 0, REMOVAL_CERTIFICATE));
  CU_ASSERT_EQUAL (owner (&setting), 3);
  make_apply (&setting.view, make_removed (3, 0, REMOVAL_CERTIFICATE));
  CU_ASSERT_EQUAL (owner (&setting), 0);
  view_clear (&setting.view);
}

/* Rule 4: a floor at the move gives the slice to its receiver, a lower one to
   the successor.  */
static void
test_out_floor (void)
{
  struct setting setting;
  guint64 move;

  setting_init (&setting);
  move = begin_move (&setting);
  make_apply (&setting.view, make_removed (1, move, REMOVAL_CERTIFICATE));
  CU_ASSERT_EQUAL (owner (&setting), 4);
  CU_ASSERT_EQUAL (setting.slice->move_offset, 0);
  view_clear (&setting.view);
  setting_init (&setting);
  move = begin_move (&setting);
  make_apply (&setting.view, make_removed (1, move - 1, REMOVAL_CERTIFICATE));
  CU_ASSERT_EQUAL (owner (&setting), 2);
  view_clear (&setting.view);
}

/* An owner that was to change its successors only has the old ones.  */
static void
test_out_successors (void)
{
  struct setting setting;
  guint64 move;

  setting_init (&setting);
  move
      = make_apply (&setting.view, make_slice (RECORD_MOVE, 0,
                                               setting.slice->epoch, 1, 5, 4));
  make_apply (&setting.view, make_removed (1, move, REMOVAL_CERTIFICATE));
  CU_ASSERT_EQUAL (owner (&setting), 2);
  view_clear (&setting.view);
}

/* A node that an operator declares dead may have released the slice.  */
static void
test_out_declared (void)
{
  struct setting setting;

  setting_init (&setting);
  begin_move (&setting);
  make_apply (&setting.view, make_removed (1, 0, REMOVAL_DECLARED));
  CU_ASSERT_EQUAL (owner (&setting), 4);
  view_clear (&setting.view);
}

/* A pending move passes on when its receiver goes out, at last back to the
   owner, each time as a new move.  */
static void
test_receiver_out (void)
{
  struct setting setting;
  guint64 move;
  guint64 at;

  setting_init (&setting);
  move = begin_move (&setting);
  at = make_apply (&setting.view, make_removed (4, 0, REMOVAL_CERTIFICATE));
  CU_ASSERT_EQUAL (receiver (&setting), 5);
  CU_ASSERT_EQUAL (setting.slice->move_offset, at);
  make_apply (&setting.view, make_slice (RECORD_MOVED, 0, move, 4, 0, 0));
  CU_ASSERT_EQUAL (owner (&setting), 1);
  make_apply (&setting.view, make_removed (5, 0, REMOVAL_CERTIFICATE));
  CU_ASSERT_EQUAL (receiver (&setting), 2);
  at = make_apply (&setting.view, make_removed (2, 0, REMOVAL_CERTIFICATE));
  CU_ASSERT_EQUAL (receiver (&setting), 1);
  CU_ASSERT_EQUAL (setting.slice->move_offset, at);
  make_apply (&setting.view, make_slice (RECORD_MOVED, 0, at, 1, 0, 0));
  CU_ASSERT_EQUAL (owner (&setting), 1);
  CU_ASSERT_EQUAL (setting.slice->move_offset, 0);
  view_clear (&setting.view);
}

/* Moves go to live members of the service only.  */
static void
test_move_dropped (void)
{
  struct setting setting;
  struct record join = make_join (6);
  struct record leaving
      = { .version = RECORD_VERSION, .kind = RECORD_LEAVING };

  setting_init (&setting);
  g_strlcpy (join.body.join.service, "kasir", sizeof join.body.join.service);
  make_apply (&setting.view, join);
  make_apply (&setting.view,
              make_slice (RECORD_MOVE, 0, setting.slice->epoch, 6, 0, 0));
  CU_ASSERT_EQUAL (setting.slice->move_offset, 0);
  leaving.body.leaving.incarnation = 4;
  make_apply (&setting.view, leaving);
  begin_move (&setting);
  CU_ASSERT_EQUAL (setting.slice->move_offset, 0);
  make_apply (&setting.view,
              make_slice (RECORD_MOVE, 0, setting.slice->epoch + 1, 5, 0, 0));
  CU_ASSERT_EQUAL (setting.slice->move_offset, 0);
  view_clear (&setting.view);
}

/* Fold the join of node 9 at the address of node 1, said to retire RETIRES. */
static guint64
restart_first (struct setting *setting, guint64 retires)
{
  struct record join = make_join (9);

  join.body.join.peer_address = make_address (1);
  join.body.join.replaced_incarnation = retires;
  return make_apply (&setting->view, join);
}

/* A restart passes slices on at once, but for those with a pending move, of
   which the witnesses know more.  */
static void
test_restart (void)
{
  struct setting setting;
  guint64 move;

  setting_init (&setting);
  restart_first (&setting, 1);
  CU_ASSERT_EQUAL (owner (&setting), 2);
  CU_ASSERT_TRUE (handle_is_set (view_find_node (&setting.view, 9)));
  view_clear (&setting.view);
  setting_init (&setting);
  move = begin_move (&setting);
  restart_first (&setting, 1);
  CU_ASSERT_EQUAL (owner (&setting), 1);
  make_apply (&setting.view, make_removed (1, move, REMOVAL_CERTIFICATE));
  CU_ASSERT_EQUAL (owner (&setting), 4);
  view_clear (&setting.view);
}

/* The receiver, and no other node, may say that it was never released.  */
static void
test_declined (void)
{
  struct setting setting;
  struct record record;
  guint64 move;

  setting_init (&setting);
  move = begin_move (&setting);
  record = make_slice (RECORD_MOVED, 0, move, 0, 0, 0);
  record.writer = 4;
  make_apply (&setting.view, record);
  CU_ASSERT_EQUAL (owner (&setting), 1);
  restart_first (&setting, 1);
  record = make_slice (RECORD_MOVED, 0, move, 0, 0, 0);
  record.writer = 5;
  make_apply (&setting.view, record);
  CU_ASSERT_EQUAL (owner (&setting), 1);
  record = make_slice (RECORD_MOVED, 0, move, 0, 0, 0);
  record.writer = 4;
  make_apply (&setting.view, record);
  CU_ASSERT_EQUAL (owner (&setting), 2);
  view_clear (&setting.view);
}

/* When the receiver goes as well, nobody was told `released'.  */
static void
test_restart_both (void)
{
  struct setting setting;

  setting_init (&setting);
  begin_move (&setting);
  restart_first (&setting, 1);
  make_apply (&setting.view, make_removed (4, 0, REMOVAL_CERTIFICATE));
  CU_ASSERT_EQUAL (owner (&setting), 2);
  CU_ASSERT_EQUAL (setting.slice->move_offset, 0);
  view_clear (&setting.view);
}

/* A join that does not name the node at its address was appended by a process
   before that one: it retires nobody.  */
static void
test_late_join (void)
{
  struct setting setting;

  setting_init (&setting);
  restart_first (&setting, 0);
  CU_ASSERT_EQUAL (owner (&setting), 1);
  CU_ASSERT_FALSE (handle_is_set (view_find_node (&setting.view, 9)));
  view_clear (&setting.view);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "out", test_out },
                                 { "out floor", test_out_floor },
                                 { "out successors", test_out_successors },
                                 { "out declared", test_out_declared },
                                 { "receiver out", test_receiver_out },
                                 { "move dropped", test_move_dropped },
                                 { "restart", test_restart },
                                 { "declined", test_declined },
                                 { "restart both", test_restart_both },
                                 { "late join", test_late_join },
                                 CU_TEST_INFO_NULL };

  return suite_run ("fold_slice", tests);
}
