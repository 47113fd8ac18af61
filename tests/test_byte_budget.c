#include "edge/byte_budget.h"
#include "tests/suite.h"

/* Who may hold how many bytes, without sockets.  */

#define LIMIT ((guint64)8000000) /* an eighth is 1,000,000 */
#define EIGHTH ((gint64)1000000)
#define SECOND ((gint64)1000000)

/* Add a holder of KIND with BYTES that has moved at the time 0.  */
static struct handle
add (struct byte_budget *budget, enum byte_holder_kind kind, gint64 bytes)
{
  struct handle h = byte_budget_add (budget, kind, NULL, 0);

  byte_budget_charge (budget, h, bytes);
  return h;
}

/* Add a connection of a caller that waits for its reader with BYTES.  */
static struct handle
add_unread (struct byte_budget *budget, gint64 bytes)
{
  struct handle h = add (budget, BYTE_HOLDER_CALLER, bytes);

  byte_budget_set_unread (budget, h, TRUE);
  return h;
}

/* Guards against bytes that are counted twice, or for ever: the sum follows
   the holders, and one that was removed counts nothing.  */
static void
test_sum (void)
{
  struct byte_budget budget;
  struct handle a;
  struct handle b;

  byte_budget_init (&budget, LIMIT, 0);
  a = add (&budget, BYTE_HOLDER_CALLER, 500);
  b = add (&budget, BYTE_HOLDER_OTHER, 300);
  CU_ASSERT_EQUAL (budget.held, 800);
  byte_budget_charge (&budget, a, -200);
  CU_ASSERT_EQUAL (budget.held, 600);
  byte_budget_stop (&budget, a, TRUE);
  CU_ASSERT_EQUAL (budget.stopped_count, 1);
  byte_budget_remove (&budget, a);
  CU_ASSERT_EQUAL (budget.held, 300);
  CU_ASSERT_EQUAL (budget.stopped_count, 0);
  byte_budget_charge (&budget, a, 100);
  byte_budget_charge (&budget, a, -100);
  CU_ASSERT_EQUAL (budget.held, 300);
  byte_budget_remove (&budget, b);
  CU_ASSERT_EQUAL (budget.held, 0);
  CU_ASSERT_EQUAL (budget.counts[BYTE_HOLDER_CALLER], 0);
  CU_ASSERT_EQUAL (budget.counts[BYTE_HOLDER_OTHER], 0);
  byte_budget_clear (&budget);
}

/* Without a limit nothing is stopped, refused or closed, and no more than the
   usual part of a response is buffered.  */
static void
test_no_limit (void)
{
  struct byte_budget budget;
  struct handle a;

  byte_budget_init (&budget, 0, 0);
  a = add_unread (&budget, G_MAXINT64 / 2);
  CU_ASSERT_TRUE (byte_budget_may_read (&budget, a));
  CU_ASSERT_TRUE (byte_budget_may_begin (&budget, a));
  CU_ASSERT_TRUE (byte_budget_may_begin (&budget, HANDLE_NONE));
  CU_ASSERT_TRUE (byte_budget_may_accept (&budget));
  CU_ASSERT_FALSE (byte_budget_may_buffer (&budget, a));
  CU_ASSERT_FALSE (handle_is_set (byte_budget_to_close (&budget, SECOND)));
  byte_budget_clear (&budget);
}

/* Guards against callers who fill the process up to its limit before any is
   held back: beyond six eighths those above their share are not read, and all
   others are.  */
static void
test_backpressure (void)
{
  struct byte_budget budget;
  struct handle large;
  struct handle small;
  struct handle server;

  byte_budget_init (&budget, LIMIT, 0);
  large = add (&budget, BYTE_HOLDER_CALLER, 5 * EIGHTH);
  small = add (&budget, BYTE_HOLDER_CALLER, 30000);
  server = add (&budget, BYTE_HOLDER_OTHER, 100000);
  CU_ASSERT_TRUE (byte_budget_may_read (&budget, large));
  byte_budget_charge (&budget, server, EIGHTH);
  CU_ASSERT_TRUE (byte_budget_is_short (&budget));
  CU_ASSERT_FALSE (byte_budget_may_read (&budget, large));
  CU_ASSERT_TRUE (byte_budget_may_read (&budget, small));
  CU_ASSERT_TRUE (byte_budget_may_read (&budget, server));
  CU_ASSERT_FALSE (byte_budget_may_queue (&budget, server));
  byte_budget_charge (&budget, large, 2 * EIGHTH);
  CU_ASSERT_FALSE (byte_budget_may_read (&budget, small));
  CU_ASSERT_TRUE (byte_budget_may_read (&budget, server));
  CU_ASSERT_FALSE (byte_budget_is_relieved (&budget));
  byte_budget_remove (&budget, large);
  CU_ASSERT_TRUE (byte_budget_is_relieved (&budget));
  byte_budget_clear (&budget);
}

/* Guards against a share so small that a head of 16,384 bytes with a short
   body could not be received beside many connections.  */
static void
test_least_share (void)
{
  struct byte_budget budget;
  struct handle head = HANDLE_NONE;
  guint i;

  byte_budget_init (&budget, LIMIT, 0);
  for (i = 0; i < 1000; i++)
    head = add_unread (&budget, 6200);
  byte_budget_charge (&budget, head, (gint64)2 * 16384);
  CU_ASSERT_TRUE (byte_budget_is_short (&budget));
  CU_ASSERT_TRUE (byte_budget_may_read (&budget, head));
  byte_budget_clear (&budget);
}

/* The one that holds most is closed, and others only while there is no room.
   One that is not stalled is spared while another one is, and what belongs to
   servers and nodes is never closed.  */
static void
test_closed (void)
{
  struct byte_budget budget;
  struct handle moving;
  struct handle stalled;

  byte_budget_init (&budget, LIMIT, 0);
  add (&budget, BYTE_HOLDER_OTHER, 3 * EIGHTH);
  moving = add_unread (&budget, 2 * EIGHTH);
  stalled = add_unread (&budget, EIGHTH);
  add_unread (&budget, EIGHTH / 2);
  byte_budget_moved (&budget, moving, 5 * SECOND);
  CU_ASSERT_FALSE (handle_is_set (byte_budget_to_close (&budget, 5 * SECOND)));
  add (&budget, BYTE_HOLDER_STREAM, EIGHTH);
  CU_ASSERT_TRUE (byte_budget_is_over (&budget));
  CU_ASSERT_TRUE (
      handle_equal (byte_budget_to_close (&budget, 5 * SECOND), stalled));
  CU_ASSERT_TRUE (
      handle_equal (byte_budget_to_close (&budget, SECOND / 2), moving));
  byte_budget_remove (&budget, stalled);
  CU_ASSERT_FALSE (handle_is_set (byte_budget_to_close (&budget, 5 * SECOND)));
  byte_budget_clear (&budget);
}

/* Guards against ordinary callers who are refused because of others: a request
   of one who holds little begins up to the limit, one of a caller beyond its
   share, or of another node, does not.  */
static void
test_reserve (void)
{
  struct byte_budget budget;
  struct handle large;
  struct handle small;

  byte_budget_init (&budget, LIMIT, 0);
  large = add_unread (&budget, 7 * EIGHTH - 10000);
  small = add (&budget, BYTE_HOLDER_CALLER, 4000);
  CU_ASSERT_FALSE (byte_budget_may_begin (&budget, large));
  CU_ASSERT_TRUE (byte_budget_may_begin (&budget, small));
  CU_ASSERT_TRUE (byte_budget_may_begin (&budget, HANDLE_NONE));
  byte_budget_charge (&budget, large, 20000);
  CU_ASSERT_TRUE (byte_budget_may_begin (&budget, small));
  CU_ASSERT_FALSE (byte_budget_may_begin (&budget, HANDLE_NONE));
  byte_budget_charge (&budget, large, EIGHTH);
  CU_ASSERT_FALSE (byte_budget_may_begin (&budget, small));
  byte_budget_clear (&budget);
}

/* A response beyond the usual part is buffered while half of the budget is
   free, by each up to a sixteenth.  */
static void
test_buffer (void)
{
  struct byte_budget budget;
  struct handle a;

  byte_budget_init (&budget, LIMIT, 0);
  a = add_unread (&budget, EIGHTH / 2 - 1);
  CU_ASSERT_TRUE (byte_budget_may_buffer (&budget, a));
  byte_budget_charge (&budget, a, 1);
  CU_ASSERT_FALSE (byte_budget_may_buffer (&budget, a));
  byte_budget_charge (&budget, a, -1);
  add (&budget, BYTE_HOLDER_OTHER, 4 * EIGHTH);
  CU_ASSERT_FALSE (byte_budget_may_buffer (&budget, a));
  CU_ASSERT_FALSE (byte_budget_may_buffer (&budget, HANDLE_NONE));
  byte_budget_clear (&budget);
}

/* Guards against callers who take all descriptors: beyond the limit one that
   does not read makes room, then one that is idle, and none that is in use. */
static void
test_descriptors (void)
{
  struct byte_budget budget;
  struct handle idle;
  struct handle unread;

  byte_budget_init (&budget, LIMIT, 3);
  add (&budget, BYTE_HOLDER_STREAM, 9000);
  add (&budget, BYTE_HOLDER_OTHER, 9000);
  idle = add (&budget, BYTE_HOLDER_CALLER, 3000);
  CU_ASSERT_TRUE (byte_budget_may_accept (&budget));
  unread = add_unread (&budget, 4000);
  CU_ASSERT_FALSE (byte_budget_may_accept (&budget));
  CU_ASSERT_FALSE (
      handle_is_set (byte_budget_to_make_room (&budget, SECOND / 2)));
  CU_ASSERT_TRUE (
      handle_equal (byte_budget_to_make_room (&budget, SECOND), unread));
  byte_budget_set_unread (&budget, unread, FALSE);
  byte_budget_moved (&budget, unread, 10 * SECOND);
  CU_ASSERT_FALSE (
      handle_is_set (byte_budget_to_make_room (&budget, 14 * SECOND)));
  CU_ASSERT_TRUE (
      handle_equal (byte_budget_to_make_room (&budget, 26 * SECOND), idle));
  byte_budget_clear (&budget);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "sum", test_sum },
                                 { "no limit", test_no_limit },
                                 { "backpressure", test_backpressure },
                                 { "least share", test_least_share },
                                 { "who is closed", test_closed },
                                 { "part for ordinary callers", test_reserve },
                                 { "buffered responses", test_buffer },
                                 { "descriptors", test_descriptors },
                                 CU_TEST_INFO_NULL };

  return suite_run ("byte_budget", tests);
}
