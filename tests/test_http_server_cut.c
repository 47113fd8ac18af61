#include "tests/http_server_stage.h"

/* Responses that break off on a connection on which requests run at the same
   time.  */

/* Guards against a response that breaks off and looks whole, and against
   requests behind it that go on: the first one of three breaks off after the
   start of its response.  */
static void
test_first_breaks_off (void)
{
  struct server_stage stage;

  stage_open (&stage);
  stage_send (&stage, GET ("/i1") GET ("/i2") GET ("/i3") GET ("/x4"));
  stage_answer (&stage, 2);
  stage_begin_answer (&stage, 0, 10, "/i");
  http_server_cut (&stage.server, stage.requests[0].handle);
  stage_settle (&stage);
  CU_ASSERT_TRUE (stage.closed);
  CU_ASSERT_TRUE (g_str_has_suffix (stage.received->str, "\r\n\r\n/i"));
  CU_ASSERT_EQUAL (stage.requests[0].left, 0);
  CU_ASSERT_EQUAL (stage_left (&stage), 2);
  CU_ASSERT_EQUAL (stage.count, 3);
  CU_ASSERT_EQUAL (stage.server.conns.count, 0);
  stage_close (&stage);
}

/* The same for one that breaks off before its turn, after the start of its
   response if it has BEGUN: the response before it is whole, nothing of it is
   sent, and what is behind it is cancelled.  */
static void
check_breaks_off_early (guint i, gboolean begun, gboolean first_is_answered)
{
  static const char *const expected[] = { "", "/i1", "/i1 /i2" };
  struct server_stage stage;
  guint j;

  stage_open (&stage);
  stage_send (&stage, GET ("/i1") GET ("/i2") GET ("/i3") GET ("/x4"));
  if (first_is_answered)
    stage_answer (&stage, 2);
  if (begun)
    stage_begin_answer (&stage, i, 10, "/i");
  http_server_cut (&stage.server, stage.requests[i].handle);
  stage_settle (&stage);
  CU_ASSERT_FALSE (stage.closed);
  CU_ASSERT_EQUAL (stage.received->len, 0);
  CU_ASSERT_EQUAL (stage_left (&stage), 2 - i);
  for (j = i; j > 0; j--)
    stage_answer (&stage, j - 1);
  CU_ASSERT_TRUE (stage_received (&stage, expected[i]));
  CU_ASSERT_TRUE (stage.closed);
  CU_ASSERT_EQUAL (stage.count, 3);
  CU_ASSERT_EQUAL (stage_left (&stage), 2 - i);
  CU_ASSERT_EQUAL (stage.server.requests.count, 0);
  stage_close (&stage);
}

/* The same for each place and state.  */
static void
test_breaks_off_early (void)
{
  check_breaks_off_early (1, FALSE, FALSE);
  check_breaks_off_early (1, TRUE, FALSE);
  check_breaks_off_early (1, TRUE, TRUE);
  check_breaks_off_early (2, FALSE, FALSE);
  check_breaks_off_early (2, TRUE, FALSE);
}

/* Both the first request and one behind it break off at once, as when the node
   stops.  */
static void
test_all_break_off (void)
{
  struct server_stage stage;
  guint i;

  stage_open (&stage);
  stage_send (&stage, GET ("/i1") GET ("/i2") GET ("/i3"));
  for (i = 0; i < 3; i++)
    http_server_cut (&stage.server, stage.requests[i].handle);
  stage_settle (&stage);
  CU_ASSERT_TRUE (stage.closed);
  CU_ASSERT_EQUAL (stage_left (&stage), 0);
  CU_ASSERT_EQUAL (stage.server.requests.count, 0);
  CU_ASSERT_EQUAL (stage.server.conns.count, 0);
  stage_close (&stage);
}

/* Guards against a response of an HTTP/1.0 request behind others that has no
   length, ends with the connection, and is cut: the connection is reset, so
   that it does not look whole.  */
static void
test_http_1_0_cut (void)
{
  struct server_stage stage;
  int error = 0;
  socklen_t length = sizeof error;

  stage_open (&stage);
  stage_send (&stage, GET ("/i1") "GET /i2 HTTP/1.0\r\nHost: h\r\n\r\n");
  CU_ASSERT_EQUAL (stage.count, 1);
  stage_answer (&stage, 0);
  CU_ASSERT_EQUAL (stage.count, 2);
  stage_begin_answer (&stage, 1, -1, "part");
  CU_ASSERT_TRUE (g_str_has_suffix (stage.received->str, "\r\n\r\npart"));
  http_server_cut (&stage.server, stage.requests[1].handle);
  while (g_main_context_iteration (NULL, FALSE))
    continue;
  g_usleep (STAGE_QUIET_USEC);
  getsockopt (stage.caller, SOL_SOCKET, SO_ERROR, &error, &length);
  CU_ASSERT_EQUAL (error, ECONNRESET);
  stage_close (&stage);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "first response breaks off", test_first_breaks_off },
          { "response breaks off before its turn", test_breaks_off_early },
          { "all responses break off", test_all_break_off },
          { "HTTP/1.0 response behind others is cut", test_http_1_0_cut },
          CU_TEST_INFO_NULL };

  return suite_run ("http server cut", tests);
}
