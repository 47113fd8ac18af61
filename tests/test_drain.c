#include "tests/request_fixture.h"

#define AFTER_LINGER (FIXTURE_START + DRAIN_LINGER_USEC)

/* Return the record of KIND that the core appends, or NULL.  */
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

/* Have time pass while the edge handles EXCHANGES requests; append the record
   of KIND that is proposed and have the core read it.  Return FALSE if none
   was proposed.  */
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

/* Request the graceful stop.  */
static void
request_drain (struct fixture *f)
{
  struct event event = { .kind = EVENT_DRAIN };

  fixture_step (f, &event, FIXTURE_START);
}

/* Return an idempotent request for SERVICE.  */
static struct request
idempotent (const char *service, const char *key)
{
  struct request request = fixture_request (service, key, "a");

  request.run_class = RUN_IDEMPOTENT;
  return request;
}

/* A leaving node serves a request in flight to its end, and exits only once
   the edge has no requests left and the log shows the node as removed.  */
static void
test_waits_for_requests (void)
{
  struct fixture f;
  struct request request = idempotent ("pay", "");
  struct handle exchange;

  fixture_begin (&f, "pay");
  exchange = fixture_arrive (&f, &request, FIXTURE_START);
  request_drain (&f);
  CU_ASSERT_TRUE (tick_and_log (&f, 1, RECORD_LEAVING, FIXTURE_START));
  request_drain (&f);
  CU_ASSERT_FALSE (tick_and_log (&f, 1, RECORD_REMOVED, AFTER_LINGER));
  CU_ASSERT_PTR_NULL (fixture_find (&f, ACTION_CANCEL));
  fixture_ended (&f, exchange, OUTCOME_DONE, REASON_NONE, FIXTURE_START);
  CU_ASSERT_FALSE (tick_and_log (&f, 1, RECORD_REMOVED, AFTER_LINGER));
  fixture_tick (&f, 0, AFTER_LINGER);
  CU_ASSERT_PTR_NOT_NULL (find_append (&f, RECORD_REMOVED));
  CU_ASSERT_PTR_NULL (fixture_find (&f, ACTION_EXIT));
  fixture_end (&f);
}

/* A node exits once it has read back its removal, but not while the edge still
   handles a request.  */
static void
test_exits_when_removed (void)
{
  struct fixture f;
  struct request request = idempotent ("pay", "");

  fixture_begin (&f, "pay");
  request_drain (&f);
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

/* Guards against requests that are lost in the turn of the loop in which a
   process ends: it does not end while input may follow, and passes nothing on
   after its end was requested.  */
static void
test_nothing_after_the_end (void)
{
  struct fixture f;
  struct request request = idempotent ("pay", "");
  struct event event = { .kind = EVENT_TICK };

  fixture_begin (&f, "pay");
  request_drain (&f);
  CU_ASSERT_TRUE (tick_and_log (&f, 0, RECORD_LEAVING, FIXTURE_START));
  CU_ASSERT_TRUE (tick_and_log (&f, 0, RECORD_REMOVED, AFTER_LINGER));
  event.u.tick.input_may_follow = TRUE;
  fixture_step (&f, &event, FIXTURE_START);
  CU_ASSERT_PTR_NULL (fixture_find (&f, ACTION_EXIT));
  fixture_tick (&f, 0, FIXTURE_START);
  CU_ASSERT_PTR_NOT_NULL (fixture_find (&f, ACTION_EXIT));
  fixture_arrive (&f, &request, FIXTURE_START);
  CU_ASSERT_PTR_NULL (fixture_find (&f, ACTION_FORWARD));
  fixture_end (&f);
}

/* A node accepts work until it reads on the log that it leaves.  Then requests
   of callers go to other nodes, and those of other nodes are refused.  */
static void
test_no_new_work (void)
{
  struct fixture f;
  struct request request = idempotent ("pay", "");

  fixture_begin (&f, "pay");
  request_drain (&f);
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

/* A leaving node serves the slices that it owns, and proposes its removal only
   after they have been moved away.  */
static void
test_serves_owned_slices (void)
{
  struct fixture f;
  struct request request = idempotent ("desk", "k");
  struct record move = { .kind = RECORD_MOVE };
  struct record_slice slice = { .owner = 2 };
  struct handle exchange;

  fixture_begin (&f, "desk");
  request_drain (&f);
  CU_ASSERT_TRUE (tick_and_log (&f, 0, RECORD_LEAVING, FIXTURE_START));
  CU_ASSERT_FALSE (tick_and_log (&f, 0, RECORD_REMOVED, AFTER_LINGER));
  exchange = fixture_arrive (&f, &request, FIXTURE_START);
  CU_ASSERT_PTR_NOT_NULL (fixture_find (&f, ACTION_RUN));
  fixture_ended (&f, exchange, OUTCOME_DONE, REASON_NONE, FIXTURE_START);
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

/* A slice that a node takes over after it has proposed its removal is not
   served while that record is pending, even when the requests of the previous
   owner have timed out.  When the record is applied it has no effect, since
   the node owns a slice, and the node serves until the slice is moved
   away.  */
static void
test_late_assignment (void)
{
  struct fixture f;
  struct request request = idempotent ("far", "k");
  struct record removed = { .kind = RECORD_REMOVED };
  struct record copy;
  gint64 later = FIXTURE_START + FIXTURE_TIMEOUT_USEC + 1;

  request.deadline = later + 1000000;
  fixture_begin (&f, "far");
  request_drain (&f);
  CU_ASSERT_TRUE (tick_and_log (&f, 0, RECORD_LEAVING, FIXTURE_START));
  fixture_tick (&f, 0, AFTER_LINGER);
  CU_ASSERT_PTR_NOT_NULL_FATAL (find_append (&f, RECORD_REMOVED));
  record_copy (&copy, find_append (&f, RECORD_REMOVED));
  removed.body.removed.incarnation = 5;
  fixture_record (&f, &removed, FIXTURE_START);
  removed.body.removed.incarnation = 6;
  fixture_record (&f, &removed, FIXTURE_START);
  fixture_arrive (&f, &request, later);
  CU_ASSERT_PTR_NULL (fixture_find (&f, ACTION_RUN));
  fixture_record (&f, &copy, FIXTURE_START);
  CU_ASSERT_TRUE (handle_is_set (f.core.self));
  fixture_arrive (&f, &request, later);
  CU_ASSERT_PTR_NOT_NULL (fixture_find (&f, ACTION_RUN));
  record_clear (&copy);
  fixture_end (&f);
}

/* A stamp that was given out is accepted for a while after the node has begun
   to leave, and the node does not propose its removal before.  */
static void
test_accepts_stamps (void)
{
  struct fixture f;
  struct request request = fixture_request ("pay", "", "a");

  fixture_begin (&f, "pay");
  request.forwarded = TRUE;
  request.stamp.clock_incarnation = 1;
  request.stamp.time_usec = FIXTURE_START;
  request.deadline = G_MAXINT64;
  request_drain (&f);
  CU_ASSERT_TRUE (tick_and_log (&f, 0, RECORD_LEAVING, FIXTURE_START));
  CU_ASSERT_FALSE (tick_and_log (&f, 0, RECORD_REMOVED, AFTER_LINGER - 1));
  fixture_arrive (&f, &request, AFTER_LINGER - 1);
  CU_ASSERT_PTR_NOT_NULL (fixture_find (&f, ACTION_RUN));
  g_strlcpy (request.id, "b", sizeof request.id);
  fixture_arrive (&f, &request, AFTER_LINGER);
  CU_ASSERT_TRUE (fixture_answered (&f, OUTCOME_NOT_RUN, REASON_DRAINING));
  fixture_end (&f);
}

/* While the log is down a leaving node continues to serve.  */
static void
test_log_down (void)
{
  struct fixture f;
  struct request request = idempotent ("pay", "");

  fixture_begin (&f, "pay");
  request_drain (&f);
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
      = { { "waits for requests", test_waits_for_requests },
          { "exits when removed", test_exits_when_removed },
          { "nothing after the end", test_nothing_after_the_end },
          { "no new work", test_no_new_work },
          { "serves owned slices", test_serves_owned_slices },
          { "late assignment", test_late_assignment },
          { "accepts stamps", test_accepts_stamps },
          { "log down", test_log_down },
          CU_TEST_INFO_NULL };

  return suite_run ("drain", tests);
}
