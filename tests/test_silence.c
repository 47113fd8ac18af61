#include "decide/silence.h"

#include "tests/request_fixture.h"

/* Have node 2 reply to a call with CODE.  Return whether its connection is to
   be closed.  */
static gboolean
reply (struct fixture *f, enum err code)
{
  struct event event = { .kind = EVENT_PEER_REPLY };
  const struct action *action;

  event.u.peer_reply.peer = 2;
  event.u.peer_reply.serial = G_MAXUINT64;
  event.u.peer_reply.body.code = code;
  fixture_step (f, &event, FIXTURE_START);
  action = fixture_find (f, ACTION_SUSPECT_CONNECTION);
  return action != NULL && action->u.suspect.peer == 2;
}

/* A connection is closed after two calls in a row without an answer, once;
   an answer between starts again.  */
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

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "closes after timeouts", test_closes_after_timeouts },
          CU_TEST_INFO_NULL };

  return suite_run ("silence", tests);
}
