#include "tests/request_fixture.h"

#define AFTER_LINGER (FIXTURE_START + DRAIN_LINGER_USEC)

/* The record of KIND that the core wants appended, or NULL.  */
static const struct record *
find_append (const struct fixture *f, enum record_kind kind)
{
  guint i;

  for (i = 0; i < f->out.items->len; i++)
    {
      const struct action *action = actions_at (&f->out, i);
      if (action->kind == ACTION_APPEND
          && action->u.append.record.kind == kind)
        return &action->u.append.record;
    }
  return NULL;
}

/* Have time pass while the edge holds EXCHANGES, and have the log take a
   record of KIND and be read.  Return FALSE if none was appended.  */
static gboolean
tick_and_log (struct fixture *f, guint32 exchanges, enum record_kind kind,
              gint64 now)
{
  const struct record *found;
  struct record record;

  fixture_tick (f, exchanges, now);
  found = find_append (f, kind);
  if (found == NULL)
    return FALSE;
  record_copy (&record, found);
  fixture_record (f, &record, now);
  fixture_tick (f, exchanges + 1, now);
  record_clear (&record);
  return TRUE;
}

/* Ask a node to leave.  */
static void
ask (struct fixture *f)
{
  struct event event = { .kind = EVENT_DRAIN };

  fixture_step (f, &event, FIXTURE_START);
}

/* A request of run class idempotent for SERVICE.  */
static struct request
idempotent (const char *service, const char *key)
{
  struct request request = fixture_request (service, key, "a");

  request.run_class = RUN_IDEMPOTENT;
  return request;
}

/* A node that leaves serves a request in flight to its end, and exits only
   once the edge has nothing left and the log says that it is out.  */
static void
test_waits_for_flights (void)
{
  struct fixture f;
  struct request request = idempotent ("pay", "");
  struct handle inflight;

  fixture_begin (&f, "pay");
  inflight = fixture_arrive (&f, &request, FIXTURE_START);
  ask (&f);
  CU_ASSERT_TRUE (tick_and_log (&f, 1, RECORD_LEAVING, FIXTURE_START));
  ask (&f);
  CU_ASSERT_FALSE (tick_and_log (&f, 1, RECORD_REMOVED, AFTER_LINGER));
  CU_ASSERT_PTR_NULL (fixture_find (&f, ACTION_CANCEL));
  fixture_ended (&f, inflight, OUTCOME_DONE, REASON_NONE, FIXTURE_START);
  CU_ASSERT_FALSE (tick_and_log (&f, 1, RECORD_REMOVED, AFTER_LINGER));
  fixture_tick (&f, 0, AFTER_LINGER);
  CU_ASSERT_PTR_NOT_NULL (find_append (&f, RECORD_REMOVED));
  CU_ASSERT_PTR_NULL (fixture_find (&f, ACTION_EXIT));
  fixture_end (&f);
}

/* Once the record that it is out is read back, the node exits, but not while
   a request is still in the edge's hands.  */
static void
test_exits_when_out (void)
{
  struct fixture f;
  struct request request = idempotent ("pay", "");

  fixture_begin (&f, "pay");
  ask (&f);
  CU_ASSERT_TRUE (tick_and_log (&f, 0, RECORD_LEAVING, FIXTURE_START));
  CU_ASSERT_TRUE (tick_and_log (&f, 0, RECORD_REMOVED, AFTER_LINGER));
  fixture_tick (&f, 1, FIXTURE_START);
  CU_ASSERT_PTR_NULL (fixture_find (&f, ACTION_EXIT));
  request.forwarded = TRUE;
  fixture_arrive (&f, &request, FIXTURE_START);
  CU_ASSERT_TRUE (fixture_answered (&f, OUTCOME_NOT_RUN, REASON_DRAINING));
  fixture_tick (&f, 0, FIXTURE_START);
  CU_ASSERT_PTR_NOT_NULL (fixture_find (&f, ACTION_EXIT));
  fixture_end (&f);
}

/* A node takes work until its leaving is read on the log; then callers'
   requests go to other nodes, and those of other nodes are refused.  */
static void
test_no_new_work (void)
{
  struct fixture f;
  struct request request = idempotent ("pay", "");

  fixture_begin (&f, "pay");
  ask (&f);
  fixture_arrive (&f, &request, FIXTURE_START);
  CU_ASSERT_PTR_NOT_NULL (fixture_find (&f, ACTION_RUN));
  CU_ASSERT_TRUE (tick_and_log (&f, 1, RECORD_LEAVING, FIXTURE_START));
  fixture_arrive (&f, &request, FIXTURE_START);
  CU_ASSERT_PTR_NOT_NULL (fixture_find (&f, ACTION_FORWARD));
  request.forwarded = TRUE;
  fixture_arrive (&f, &request, FIXTURE_START);
  CU_ASSERT_TRUE (fixture_answered (&f, OUTCOME_NOT_RUN, REASON_DRAINING));
  fixture_end (&f);
}

/* A node that owns slices serves them while it leaves, and says that it is
   out only after they have been moved away.  */
static void
test_serves_what_it_owns (void)
{
  struct fixture f;
  struct request request = idempotent ("desk", "k");
  struct record move = { .kind = RECORD_MOVE };
  struct record_slice slice = { .owner = 2 };
  struct handle inflight;

  fixture_begin (&f, "desk");
  ask (&f);
  CU_ASSERT_TRUE (tick_and_log (&f, 0, RECORD_LEAVING, FIXTURE_START));
  CU_ASSERT_FALSE (tick_and_log (&f, 0, RECORD_REMOVED, AFTER_LINGER));
  inflight = fixture_arrive (&f, &request, FIXTURE_START);
  CU_ASSERT_PTR_NOT_NULL (fixture_find (&f, ACTION_RUN));
  fixture_ended (&f, inflight, OUTCOME_DONE, REASON_NONE, FIXTURE_START);
  slice.epoch
      = view_slice_at (view_find_service (&f.core.view, "desk"), 0)->epoch;
  g_strlcpy (move.body.slices.service, "desk", NAME_SIZE);
  move.body.slices.count = 1;
  move.body.slices.items = &slice;
  fixture_record (&f, &move, FIXTURE_START);
  CU_ASSERT_FALSE (tick_and_log (&f, 0, RECORD_REMOVED, AFTER_LINGER));
  move.kind = RECORD_MOVED;
  slice.epoch = f.next_offset - 1;
  fixture_record (&f, &move, FIXTURE_START);
  CU_ASSERT_TRUE (tick_and_log (&f, 0, RECORD_REMOVED, AFTER_LINGER));
  fixture_end (&f);
}

/* A slice that a node inherits after it said that it is out is not served
   while that record is on its way, also once the owner before has run out of
   time; the fold drops the record, and the node serves until the slice is
   moved away.  */
static void
test_late_assignment (void)
{
  struct fixture f;
  struct request request = idempotent ("far", "k");
  struct record out = { .kind = RECORD_REMOVED };
  struct record copy;
  gint64 later = FIXTURE_START + FIXTURE_TIMEOUT_USEC + 1;

  request.deadline = later + 1000000;
  fixture_begin (&f, "far");
  ask (&f);
  CU_ASSERT_TRUE (tick_and_log (&f, 0, RECORD_LEAVING, FIXTURE_START));
  fixture_tick (&f, 0, AFTER_LINGER);
  CU_ASSERT_PTR_NOT_NULL_FATAL (find_append (&f, RECORD_REMOVED));
  record_copy (&copy, find_append (&f, RECORD_REMOVED));
  out.body.removed.incarnation = 5;
  fixture_record (&f, &out, FIXTURE_START);
  out.body.removed.incarnation = 6;
  fixture_record (&f, &out, FIXTURE_START);
  fixture_arrive (&f, &request, later);
  CU_ASSERT_PTR_NULL (fixture_find (&f, ACTION_RUN));
  fixture_record (&f, &copy, FIXTURE_START);
  CU_ASSERT_TRUE (handle_is_set (f.core.self));
  fixture_arrive (&f, &request, later);
  CU_ASSERT_PTR_NOT_NULL (fixture_find (&f, ACTION_RUN));
  record_clear (&copy);
  fixture_end (&f);
}

/* A caller that was offered a stamp can use it for a while after the node has
   said that it leaves; the node does not say that it is out before.  */
static void
test_honours_stamps (void)
{
  struct fixture f;
  struct request request = fixture_request ("pay", "", "a");

  fixture_begin (&f, "pay");
  request.forwarded = TRUE;
  request.stamp.clock_incarnation = 1;
  request.stamp.time_usec = FIXTURE_START;
  request.deadline = G_MAXINT64;
  ask (&f);
  CU_ASSERT_TRUE (tick_and_log (&f, 0, RECORD_LEAVING, FIXTURE_START));
  CU_ASSERT_FALSE (tick_and_log (&f, 0, RECORD_REMOVED, AFTER_LINGER - 1));
  fixture_arrive (&f, &request, AFTER_LINGER - 1);
  CU_ASSERT_PTR_NOT_NULL (fixture_find (&f, ACTION_RUN));
  g_strlcpy (request.id, "b", sizeof request.id);
  fixture_arrive (&f, &request, AFTER_LINGER);
  CU_ASSERT_TRUE (fixture_answered (&f, OUTCOME_NOT_RUN, REASON_DRAINING));
  fixture_end (&f);
}

/* While the log is down nothing changes: the node goes on serving.  */
static void
test_log_down (void)
{
  struct fixture f;
  struct request request = idempotent ("pay", "");

  fixture_begin (&f, "pay");
  ask (&f);
  fixture_tick (&f, 0, FIXTURE_START);
  fixture_tick (&f, 0, FIXTURE_START + 60000000);
  CU_ASSERT_PTR_NULL (fixture_find (&f, ACTION_EXIT));
  request.deadline = G_MAXINT64;
  fixture_arrive (&f, &request, FIXTURE_START + 60000000);
  CU_ASSERT_PTR_NOT_NULL (fixture_find (&f, ACTION_RUN));
  fixture_end (&f);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "waits for flights", test_waits_for_flights },
          { "exits when out", test_exits_when_out },
          { "no new work", test_no_new_work },
          { "serves what it owns", test_serves_what_it_owns },
          { "late assignment", test_late_assignment },
          { "honours stamps", test_honours_stamps },
          { "log down", test_log_down },
          CU_TEST_INFO_NULL };

  return suite_run ("drain", tests);
}
