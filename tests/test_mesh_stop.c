#include "mesh/mesh_parts.h"
#include "tests/mesh_fixture.h"

/* A planned stop of a node.  The grace of the fixture is 6 s.  */

#define LONG_RUN_USEC (3000 * MSEC) /* mean run of a route with long work */

/* Ask the node to stop.  */
static void
request_stop (struct fixture *fixture)
{
  struct event drain = { .kind = EVENT_DRAIN };

  feed_event (fixture, &drain);
}

/* Send a request for TARGET whose deadline is SECONDS ahead.  FORWARDED: it
   comes from another node.  */
static struct handle
send_long_request (struct fixture *fixture, const char *target, gint64 seconds,
                   gboolean forwarded)
{
  struct event event = { .kind = EVENT_REQUEST };

  event.u.request.exchange = handle_make (++fixture->last_exchange, 1);
  event.u.request.request.deadline = fixture->now + seconds * USEC_PER_SEC;
  event.u.request.request.forwarded = forwarded;
  event.u.request.request.route_number = 1;
  g_strlcpy (event.u.request.request.service, OWN_SERVICE, NAME_SIZE);
  event.u.request.host = "h";
  event.u.request.target = target;
  feed_event (fixture, &event);
  return event.u.request.exchange;
}

/* Advance the time by ticks of 25 ms until an answer to EXCHANGE appears or
   the process ends.  Return the answer, or NULL at the end.  */
static const struct action_answer *
wait_for_answer (struct fixture *fixture, struct handle exchange)
{
  while (!fixture->mesh.exit_requested)
    {
      const struct action *action;
      advance (fixture, 25 * MSEC);
      action = find_action (fixture, ACTION_ANSWER);
      if (action != NULL && handle_equal (action->u.answer.exchange, exchange))
        return &action->u.answer;
    }
  return NULL;
}

/* A request in the queue when the stop is asked for is refused, truly as not
   run, before the process ends, though its own deadline is later.  */
static void
test_queued_is_refused (void)
{
  struct fixture *fixture = fixture_new ();
  const struct action_answer *answer;
  struct handle queued;

  send_long_request (fixture, "/own/1", 25, FALSE);
  queued = send_long_request (fixture, "/own/2", 25, FALSE);
  CU_ASSERT_EQUAL (fixture->mesh.admission.queue->len, 1);
  request_stop (fixture);
  answer = wait_for_answer (fixture, queued);
  CU_ASSERT_PTR_NOT_NULL (answer);
  if (answer != NULL)
    CU_ASSERT_EQUAL (answer->outcome, OUTCOME_NOT_RUN);
  fixture_free (fixture);
}

/* A request that still runs shortly before the kill is answered as unknown;
   its connection is not cut without an answer.  */
static void
test_running_is_answered (void)
{
  struct fixture *fixture = fixture_new ();
  const struct action_answer *answer;
  struct handle running = send_long_request (fixture, "/own/1", 25, FALSE);

  request_stop (fixture);
  answer = wait_for_answer (fixture, running);
  CU_ASSERT_PTR_NOT_NULL (answer);
  if (answer != NULL)
    CU_ASSERT_EQUAL (answer->outcome, OUTCOME_UNKNOWN);
  CU_ASSERT_TRUE (fixture->now - START >= 5000 * MSEC);
  CU_ASSERT_TRUE (fixture->now - START < 6000 * MSEC);
  fixture_free (fixture);
}

/* A request of a caller that comes after the stop was asked for is refused at
   once if its route usually takes longer than is left.  */
static void
test_too_long_is_not_taken (void)
{
  struct fixture *fixture = fixture_new ();
  const struct action *refusal;

  run_times_add (&fixture->mesh.answer_times, 1, LONG_RUN_USEC);
  request_stop (fixture);
  advance (fixture, 1000 * MSEC);
  send_long_request (fixture, "/own/1", 25, FALSE);
  refusal = find_action (fixture, ACTION_ANSWER);
  CU_ASSERT_PTR_NOT_NULL (refusal);
  if (refusal != NULL)
    {
      CU_ASSERT_EQUAL (refusal->u.answer.outcome, OUTCOME_NOT_RUN);
      CU_ASSERT_TRUE (refusal->u.answer.retry_after_msec > 0);
    }
  CU_ASSERT_PTR_NULL (find_action (fixture, ACTION_RUN));
  fixture_free (fixture);
}

/* A request of another node is refused if it cannot end before the process
   does, and taken if it can.  */
static void
test_forwarded_too_long (void)
{
  struct fixture *fixture = fixture_new ();

  request_stop (fixture);
  advance (fixture, 1000 * MSEC);
  send_long_request (fixture, "/own/1", 25, TRUE);
  CU_ASSERT_PTR_NOT_NULL (find_action (fixture, ACTION_RUN));
  fixture_free (fixture);

  fixture = fixture_new ();
  run_times_add (&fixture->mesh.run_times, 1, LONG_RUN_USEC);
  request_stop (fixture);
  advance (fixture, 1000 * MSEC);
  send_long_request (fixture, "/own/1", 25, TRUE);
  CU_ASSERT_PTR_NULL (find_action (fixture, ACTION_RUN));
  CU_ASSERT_PTR_NOT_NULL (find_action (fixture, ACTION_ANSWER));
  fixture_free (fixture);
}

/* Pass a tick to the node that says what the edge has left to do.  */
static void
tick (struct fixture *fixture, guint32 pending, gboolean input_may_follow)
{
  struct event event = { .kind = EVENT_TICK };

  event.u.tick.pending_exchanges = pending;
  event.u.tick.input_may_follow = input_may_follow;
  feed_event (fixture, &event);
}

/* Guards against requests that are lost in the turn of the loop in which a
   process ends: it does not end while input may follow or an append is under
   way, and decides nothing after its end was requested.  */
static void
test_nothing_after_the_end (void)
{
  struct fixture *fixture = fixture_new ();

  request_stop (fixture);
  fixture->now += 2700 * MSEC;
  tick (fixture, 0, TRUE);
  CU_ASSERT_PTR_NULL (find_action (fixture, ACTION_EXIT));
  tick (fixture, 1, FALSE);
  CU_ASSERT_PTR_NULL (find_action (fixture, ACTION_EXIT));
  fixture->mesh.proposal.is_pending = TRUE;
  tick (fixture, 0, FALSE);
  CU_ASSERT_PTR_NULL (find_action (fixture, ACTION_EXIT));
  fixture->mesh.proposal.is_pending = FALSE;
  tick (fixture, 0, FALSE);
  CU_ASSERT_PTR_NOT_NULL (find_action (fixture, ACTION_EXIT));
  send_long_request (fixture, "/own/1", 25, FALSE);
  CU_ASSERT_EQUAL (fixture->actions.items->len, 0);
  send_heartbeat (fixture, 2);
  CU_ASSERT_EQUAL (fixture->actions.items->len, 0);
  add_services (fixture);
  CU_ASSERT_EQUAL (fixture->actions.items->len, 0);
  fixture_free (fixture);
}

/* At the time at which the process has to end it does so in any case.  */
static void
test_ends_before_the_kill (void)
{
  struct fixture *fixture = fixture_new ();

  request_stop (fixture);
  fixture->now += 5600 * MSEC;
  tick (fixture, 1, TRUE);
  CU_ASSERT_PTR_NOT_NULL (find_action (fixture, ACTION_EXIT));
  fixture_free (fixture);
}

int
main (void)
{
  CU_TestInfo tests[]
      = { { "a queued request is refused", test_queued_is_refused },
          { "a running request is answered", test_running_is_answered },
          { "what takes too long is not taken", test_too_long_is_not_taken },
          { "nor what other nodes send", test_forwarded_too_long },
          { "nothing is decided after the end", test_nothing_after_the_end },
          { "the end before the kill", test_ends_before_the_kill },
          CU_TEST_INFO_NULL };

  return suite_run ("mesh_stop", tests);
}
