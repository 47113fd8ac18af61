#include "tests/mesh_fixture.h"

/* Calls that the requests running at the local server make.  The routes of the
   fixture have priority 1 and a timeout of 1 s.  */

/* Send a request for TARGET with ID and a deadline MSEC_LEFT ahead.
   PARENT_LENGTH is what the platform decodes of the id.  */
static struct handle
send_with_id (struct fixture *fixture, const char *target, const char *id,
              guint32 parent_length, gint64 msec_left)
{
  struct event event = { .kind = EVENT_REQUEST };
  struct request *request = &event.u.request.request;

  g_strlcpy (request->id, id, sizeof request->id);
  request->parent_id_length = parent_length;
  request->deadline = fixture->now + msec_left * MSEC;
  event.u.request.exchange = handle_make (++fixture->last_exchange, 1);
  event.u.request.host = "h";
  event.u.request.target = target;
  feed_event (fixture, &event);
  return event.u.request.exchange;
}

/* Let a request with the id "p" and PRIORITY, which another node sent, run at
   the local server with MSEC_LEFT left.  */
static struct handle
run_parent (struct fixture *fixture, enum priority priority, gint64 msec_left)
{
  struct event event = { .kind = EVENT_REQUEST };
  struct request *request = &event.u.request.request;

  g_strlcpy (request->id, "p", sizeof request->id);
  g_strlcpy (request->service, OWN_SERVICE, sizeof request->service);
  request->forwarded = TRUE;
  request->priority = priority;
  request->deadline = fixture->now + msec_left * MSEC;
  event.u.request.exchange = handle_make (++fixture->last_exchange, 1);
  feed_event (fixture, &event);
  CU_ASSERT_PTR_NOT_NULL (find_action (fixture, ACTION_RUN));
  return event.u.request.exchange;
}

/* Return the request that the last step forwarded.  */
static struct request
forwarded (const struct fixture *fixture)
{
  const struct action *action = find_action (fixture, ACTION_FORWARD);
  struct request none = { 0 };

  CU_ASSERT_PTR_NOT_NULL (action);
  return action != NULL ? action->u.forward.request : none;
}

/* Guards against priority inversion: a call of a request of priority 0 must
   not queue with priority 1 at the server that it goes to.  */
static void
test_call_inherits (void)
{
  struct fixture *fixture = fixture_new ();
  struct request call;

  run_parent (fixture, PRIORITY_HIGH, 300);
  send_with_id (fixture, "/other/x", "p.1", 1, 400);
  call = forwarded (fixture);
  CU_ASSERT_TRUE (call.is_call);
  CU_ASSERT_EQUAL (call.priority, PRIORITY_HIGH);
  CU_ASSERT_EQUAL (call.deadline, fixture->now + 300 * MSEC);
  fixture_free (fixture);
}

/* Return the details of the event ID in the last step, or an empty text.  */
static const char *
logged (const struct fixture *fixture, enum log_event_id id)
{
  guint i;

  for (i = 0; i < fixture->actions.items->len; i++)
    {
      const struct action *action = actions_at (&fixture->actions, i);
      if (action->kind == ACTION_LOG_EVENT && action->u.log_event.id == id)
        return action->u.log_event.detail;
    }
  return "";
}

/* Guards against calls whose parent, and whose pauses, the log does not
   show.  */
static void
test_call_is_logged (void)
{
  struct fixture *fixture = fixture_new ();
  struct handle call;

  run_parent (fixture, PRIORITY_HIGH, 300);
  call = send_with_id (fixture, "/other/x", "p.1", 1, 400);
  end_attempt (fixture, call, OUTCOME_NOT_RUN, REASON_OVERLOAD);
  CU_ASSERT_PTR_NOT_NULL (strstr (logged (fixture, LOG_EVENT_MESH_WAIT),
                                  "reason=refused by=overload tries=1"));
  advance (fixture, 30 * MSEC);
  end_attempt (fixture, call, OUTCOME_DONE, REASON_NONE);
  CU_ASSERT_PTR_NOT_NULL (strstr (logged (fixture, LOG_EVENT_MESH_END),
                                  "call=1 pauses=1 parent=p"));
  fixture_free (fixture);
}

/* Guards against a call that is put behind requests of the priority that its
   own route has, since its parent's is lower: its parent holds a slot until it
   is answered.  */
static void
test_lower_parent (void)
{
  struct fixture *fixture = fixture_new ();
  struct request call;

  run_parent (fixture, PRIORITY_LOW, 1000);
  send_with_id (fixture, "/other/x", "p.1", 1, 400);
  call = forwarded (fixture);
  CU_ASSERT_TRUE (call.is_call);
  CU_ASSERT_EQUAL (call.priority, PRIORITY_NORMAL);
  fixture_free (fixture);
}

/* Guards against a search for the parent of each call among all requests that
   ever ran, or that wait: a node has thousands of them when callers send many
   on each connection.  */
static void
test_few_parents (void)
{
  struct fixture *fixture = fixture_new ();
  guint i;

  for (i = 0; i < 100; i++)
    end_attempt (fixture, run_parent (fixture, PRIORITY_HIGH, 300),
                 OUTCOME_DONE, REASON_NONE);
  run_parent (fixture, PRIORITY_HIGH, 300);
  for (i = 0; i < 100; i++)
    send_with_id (fixture, "/other/x", "q", 0, 400);
  CU_ASSERT_EQUAL (fixture->mesh.running->len, 1);
  send_with_id (fixture, "/other/x", "p.1", 1, 400);
  CU_ASSERT_TRUE (forwarded (fixture).is_call);
  fixture_free (fixture);
}

/* Guards against callers that gain priority by the form of an id: it counts
   only while a request with the parent's id runs here.  */
static void
test_no_such_parent (void)
{
  struct fixture *fixture = fixture_new ();
  struct handle parent = run_parent (fixture, PRIORITY_HIGH, 300);

  send_with_id (fixture, "/other/x", "q.1", 1, 400);
  CU_ASSERT_FALSE (forwarded (fixture).is_call);
  CU_ASSERT_EQUAL (forwarded (fixture).priority, PRIORITY_NORMAL);
  send_with_id (fixture, "/other/x", "pp.1", 2, 400);
  CU_ASSERT_FALSE (forwarded (fixture).is_call);
  send_with_id (fixture, "/other/x", "p.1", 0, 400);
  CU_ASSERT_FALSE (forwarded (fixture).is_call);
  end_attempt (fixture, parent, OUTCOME_DONE, REASON_NONE);
  send_with_id (fixture, "/other/x", "p.1", 1, 400);
  CU_ASSERT_FALSE (forwarded (fixture).is_call);
  CU_ASSERT_EQUAL (forwarded (fixture).deadline, fixture->now + 400 * MSEC);
  fixture_free (fixture);
}

/* Guards against a parent that fails because its call was refused once: the
   call goes to the server again after a pause, until its time is over.  A
   caller's request is refused.  */
static void
test_refused_call_returns (void)
{
  struct fixture *fixture = fixture_new ();
  struct handle call;
  guint sent = 1;
  guint i;

  run_parent (fixture, PRIORITY_NORMAL, 300);
  call = send_with_id (fixture, "/other/x", "p.1", 1, 400);
  for (i = 0; i < 400 && fixture->mesh.requests.count == 2; i++)
    {
      if (find_action (fixture, ACTION_FORWARD) != NULL)
        end_attempt (fixture, call, OUTCOME_NOT_RUN, REASON_OVERLOAD);
      if (find_action (fixture, ACTION_ANSWER) != NULL)
        break;
      gossip_from_other (fixture);
      advance (fixture, 5 * MSEC);
      sent += find_action (fixture, ACTION_FORWARD) != NULL;
    }
  CU_ASSERT_TRUE (sent >= 4);
  CU_ASSERT_TRUE (sent <= 12);
  CU_ASSERT_PTR_NOT_NULL (find_action (fixture, ACTION_ANSWER));
  CU_ASSERT_TRUE (fixture->now - START > 200 * MSEC);
  CU_ASSERT_TRUE (fixture->now - START <= 300 * MSEC);
  call = send_with_id (fixture, "/other/x", "c", 0, 400);
  end_attempt (fixture, call, OUTCOME_NOT_RUN, REASON_OVERLOAD);
  CU_ASSERT_PTR_NOT_NULL (find_action (fixture, ACTION_ANSWER));
  fixture_free (fixture);
}

/* Guards against retries of calls beyond the retry budget: a refusal by the
   server itself is not repeated without it.  */
static void
test_call_spends_budget (void)
{
  struct fixture *fixture = fixture_new ();
  guint reached = 0;
  guint i;

  run_parent (fixture, PRIORITY_NORMAL, 900);
  for (i = 0; i < 20; i++)
    {
      struct handle call = send_with_id (fixture, "/other/x", "p.1", 1, 400);
      while (find_action (fixture, ACTION_FORWARD) != NULL)
        {
          reached++;
          end_attempt (fixture, call, OUTCOME_NOT_RUN, REASON_SHED);
        }
      CU_ASSERT_PTR_NOT_NULL (find_action (fixture, ACTION_ANSWER));
    }
  CU_ASSERT_TRUE (reached <= 20 + 3 + 20 / 10);
  fixture_free (fixture);
}

/* Guards against new requests that delay calls of equal priority: a call
   frees the slot of its parent sooner.  */
static void
test_call_goes_first (void)
{
  struct fixture *fixture = fixture_new ();
  struct admission *admission = &fixture->mesh.admission;
  struct request request
      = { .priority = PRIORITY_NORMAL, .deadline = START + 400 * MSEC };
  struct handle handles[3] = { { 1 }, { 2 }, { 3 } };
  struct handle next = HANDLE_NONE;
  enum reason reason;

  admission_set_slots (admission, 1, 4);
  admission_request (admission, handles[0], &request, START, &reason);
  admission_request (admission, handles[1], &request, START, &reason);
  request.is_call = TRUE;
  request.deadline = START + 900 * MSEC;
  admission_request (admission, handles[2], &request, START, &reason);
  admission_release (admission);
  CU_ASSERT_TRUE (admission_next (admission, START, &next));
  CU_ASSERT_EQUAL (next.bits, handles[2].bits);
  admission_release (admission);
  fixture_free (fixture);
}

int
main (void)
{
  CU_TestInfo tests[]
      = { { "a call inherits priority and time", test_call_inherits },
          { "a call is logged", test_call_is_logged },
          { "lower parent", test_lower_parent },
          { "few parents are compared", test_few_parents },
          { "no such parent", test_no_such_parent },
          { "a refused call returns", test_refused_call_returns },
          { "a call spends the budget", test_call_spends_budget },
          { "a call goes first", test_call_goes_first },
          CU_TEST_INFO_NULL };

  return suite_run ("mesh_call", tests);
}
