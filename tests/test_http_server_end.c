#include "tests/http_server_stage.h"

/* The ways in which a connection ends on which requests run at the same
   time.  */

/* Guards against requests that go on for a caller that has left: all of them
   are reported as left, at each kind of end, also if some responses are
   held.  */
static void
test_caller_leaves (void)
{
  struct server_stage stage;
  int end;

  for (end = 0; end < RAW_END_COUNT; end++)
    {
      stage_open (&stage);
      stage_send (&stage, GET ("/i1") GET ("/i2") GET ("/i3") GET ("/x4"));
      stage_answer (&stage, 1);
      CU_ASSERT_EQUAL (stage.count, 3);
      raw_end (stage.caller, end);
      stage_settle_reading (&stage, FALSE);
      CU_ASSERT_EQUAL (stage_left (&stage), 3);
      CU_ASSERT_EQUAL (stage.count, 3);
      CU_ASSERT_EQUAL (stage.server.requests.count, 0);
      CU_ASSERT_EQUAL (stage.server.conns.count, 0);
      if (end != RAW_HALF_CLOSE)
        stage.caller = raw_connect (http_server_port (&stage.server));
      stage_close (&stage);
    }
}

/* The server is stopped while requests run and responses are held: there are
   no events, and nothing is left behind.  */
static void
test_server_stops (void)
{
  struct server_stage stage;

  stage_open (&stage);
  stage_send (&stage, GET ("/i1") GET ("/i2") GET ("/i3"));
  stage_answer (&stage, 1);
  stage_close (&stage);
  CU_ASSERT_EQUAL (stage_left (&stage), 0);
}

/* Guards against a request that runs behind one that asks for a close: it is
   not read.  */
static void
test_request_closes (void)
{
  struct server_stage stage;

  stage_open (&stage);
  stage_send (&stage, GET_CLOSE ("/i1") GET ("/i2"));
  CU_ASSERT_EQUAL (stage.count, 1);
  stage_answer (&stage, 0);
  CU_ASSERT_TRUE (stage.closed);
  CU_ASSERT_EQUAL (stage.count, 1);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (stage.received->str, "Connection: close\r\n"));
  stage_close (&stage);

  stage_open (&stage);
  stage_send (&stage, GET ("/i1") GET_CLOSE ("/i2") GET ("/i3"));
  CU_ASSERT_EQUAL (stage.count, 2);
  stage_answer (&stage, 1);
  stage_answer (&stage, 0);
  CU_ASSERT_TRUE (stage_received (&stage, "/i1 /i2"));
  CU_ASSERT_TRUE (stage.closed);
  CU_ASSERT_EQUAL (stage.count, 2);
  CU_ASSERT_EQUAL (stage_left (&stage), 0);
  stage_close (&stage);
}

/* Guards against a caller that cannot tell which of its requests were not
   read: response I of three asks for a close, and the last of those that have
   started says so; what is behind it is not started.  The responses are given
   last first if BACKWARDS.  */
static void
check_response_closes (guint i, gboolean backwards)
{
  struct server_stage stage;
  const char *close_field;
  guint j;

  stage_open (&stage);
  stage_send (&stage, GET ("/i1") GET ("/i2") GET ("/i3") GET ("/x4"));
  CU_ASSERT_EQUAL (stage.count, 3);
  for (j = 0; j < 3; j++)
    {
      guint which = backwards ? 2 - j : j;
      if (which <= i)
        stage_answer_close (&stage, which);
      else if (which == 2 && !backwards)
        stage_answer_close (&stage, which);
      else
        stage_answer (&stage, which);
    }
  if (stage.count == 4)
    stage_answer_close (&stage, 3);
  CU_ASSERT_TRUE (stage_received (&stage, stage.count == 4 ? "/i1 /i2 /i3 /x4"
                                                           : "/i1 /i2 /i3"));
  CU_ASSERT_TRUE (stage.closed);
  CU_ASSERT_EQUAL (stage_left (&stage), 0);
  close_field = raw_find (stage.received->str, "Connection: close\r\n");
  CU_ASSERT_PTR_NULL (strstr (close_field, "HTTP/1.1 "));
  stage_close (&stage);
}

/* The same for each place, and both orders.  */
static void
test_response_closes (void)
{
  guint i;

  for (i = 0; i < 3; i++)
    {
      check_response_closes (i, FALSE);
      check_response_closes (i, TRUE);
    }
}

/* No request starts behind others once a response has asked for a close, so
   that a caller that sends on and on is let go.  */
static void
test_close_ends_running_ahead (void)
{
  struct server_stage stage;

  stage_open (&stage);
  stage_send (&stage, GET ("/i1") GET ("/i2"));
  stage_answer_close (&stage, 0);
  stage_send (&stage, GET ("/i3") GET ("/i4"));
  CU_ASSERT_EQUAL (stage.count, 2);
  stage_answer (&stage, 1);
  CU_ASSERT_EQUAL (stage.count, 3);
  stage_answer_close (&stage, 2);
  CU_ASSERT_TRUE (stage.closed);
  CU_ASSERT_EQUAL (stage.count, 3);
  stage_close (&stage);
}

/* Guards against a request behind one that is not valid, and against a refusal
   before the responses to valid requests.  */
static void
test_invalid_behind (void)
{
  struct server_stage stage;
  const char *refusal;

  stage_open (&stage);
  stage_send (&stage, GET ("/i1") GET ("/i2") INVALID GET ("/i3"));
  CU_ASSERT_EQUAL (stage.count, 2);
  stage_answer (&stage, 1);
  CU_ASSERT_EQUAL (stage.received->len, 0);
  stage_answer (&stage, 0);
  refusal = raw_find (stage.received->str, "HTTP/1.1 400 ");
  CU_ASSERT_PTR_NOT_NULL (strstr (refusal, "Connection: close"));
  g_string_truncate (stage.received, (gsize)(refusal - stage.received->str));
  CU_ASSERT_TRUE (stage_received (&stage, "/i1 /i2"));
  CU_ASSERT_TRUE (stage.closed);
  CU_ASSERT_EQUAL (stage.count, 2);
  CU_ASSERT_EQUAL (stage.server.refused_count, 1);
  CU_ASSERT_EQUAL (stage_left (&stage), 0);
  stage_close (&stage);
}

/* A caller that leaves while the refusal waits cancels what runs.  */
static void
test_leaves_before_refusal (void)
{
  struct server_stage stage;

  stage_open (&stage);
  stage_send (&stage, GET ("/i1") GET ("/i2") INVALID);
  raw_end (stage.caller, RAW_CLOSE);
  stage_settle_reading (&stage, FALSE);
  CU_ASSERT_EQUAL (stage_left (&stage), 2);
  CU_ASSERT_EQUAL (stage.server.conns.count, 0);
  stage.caller = raw_connect (http_server_port (&stage.server));
  stage_close (&stage);
}

/* A connection that is closed behind responses which were held lingers for its
   caller, and is closed at last.  */
static void
test_linger (void)
{
  struct server_stage stage;

  stage_open (&stage);
  stage_send (&stage, GET ("/i1") GET_CLOSE ("/i2"));
  stage_answer (&stage, 1);
  stage_answer (&stage, 0);
  CU_ASSERT_TRUE (stage.closed);
  CU_ASSERT_EQUAL (stage.server.conns.count, 1);
  http_server_expire (&stage.server, clock_usec ());
  CU_ASSERT_EQUAL (stage.server.conns.count, 1);
  http_server_expire (&stage.server, clock_usec () + STAGE_CASE_USEC);
  CU_ASSERT_EQUAL (stage.server.conns.count, 0);
  stage_close (&stage);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "caller leaves", test_caller_leaves },
          { "server stops", test_server_stops },
          { "request that closes", test_request_closes },
          { "response that closes", test_response_closes },
          { "nothing runs ahead after that", test_close_ends_running_ahead },
          { "invalid request behind valid ones", test_invalid_behind },
          { "caller leaves before the refusal", test_leaves_before_refusal },
          { "linger behind held responses", test_linger },
          CU_TEST_INFO_NULL };

  return suite_run ("http server end", tests);
}
