#include "decide/peer_probe.h"

#include "tests/request_fixture.h"

/* Have node 2 reply to a call with CODE.  Return whether its connection is to
   be retired.  */
static gboolean
reply (struct fixture *f, enum err code)
{
  struct event event = { .kind = EVENT_PEER_REPLY };
  const struct action *action;

  event.u.peer_reply.peer_incarnation = 2;
  event.u.peer_reply.serial = G_MAXUINT64;
  event.u.peer_reply.body.code = code;
  fixture_step (f, &event, FIXTURE_START);
  action = fixture_find (f, ACTION_DROP_CONNECTIONS);
  return action != NULL && action->u.drop_connections.peer_incarnation == 2;
}

/* A connection is retired once after two consecutive calls without a reply; a
   reply in between resets the count.  */
static void
test_closes_after_timeouts (void)
{
  struct fixture f;

  fixture_begin (&f, "desk");
  CU_ASSERT_FALSE (reply (&f, ERR_TIMEOUT));
  CU_ASSERT_FALSE (reply (&f, ERR_CLOSED));
  CU_ASSERT_FALSE (reply (&f, ERR_TIMEOUT));
  CU_ASSERT_TRUE (reply (&f, ERR_TIMEOUT));
  CU_ASSERT_FALSE (reply (&f, ERR_TIMEOUT));
  fixture_end (&f);
}

/* A node that lets requests wait is probed.  Once the probes time out too,
   requests go to its successor, although no request to the node ever
   ended.  */
static void
test_probe (void)
{
  struct fixture f;
  struct request request = fixture_request ("far", "k", "a");
  struct event timed_out = { .kind = EVENT_PEER_REPLY };
  const struct action *action;
  gint64 now = FIXTURE_START;
  guint i;

  request.run_class = RUN_IDEMPOTENT;
  request.deadline = now + 60 * (gint64)1000000;
  timed_out.u.peer_reply.peer_incarnation = 5;
  timed_out.u.peer_reply.serial = G_MAXUINT64;
  timed_out.u.peer_reply.body.code = ERR_TIMEOUT;
  fixture_begin (&f, "desk");
  fixture_arrive (&f, &request, now);
  for (i = 0; i < 5; i++)
    {
      now += PEER_PROBE_INTERVAL_USEC;
      fixture_tick (&f, 1, now);
      action = fixture_find (&f, ACTION_PEER_CALL);
      CU_ASSERT_TRUE (action != NULL
                      && action->u.peer_call.peer_incarnation == 5);
      fixture_step (&f, &timed_out, now);
    }
  fixture_arrive (&f, &request, now);
  action = fixture_find (&f, ACTION_FORWARD);
  CU_ASSERT_TRUE (action != NULL && action->u.forward.peer_incarnation == 6);
  fixture_end (&f);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "closes after timeouts", test_closes_after_timeouts },
          { "probe", test_probe },
          CU_TEST_INFO_NULL };

  return suite_run ("peer_probe", tests);
}
