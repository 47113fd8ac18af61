#include "tests/http_server_stage.h"

/* Requests that a caller sends before the responses to its earlier ones: which
   of them run at the same time, and the order of the responses.  */

/* Guards against responses in another order than that of the requests.  */
static void
test_order (void)
{
  static const guint orders[][3] = { { 0, 1, 2 }, { 0, 2, 1 }, { 1, 0, 2 },
                                     { 1, 2, 0 }, { 2, 0, 1 }, { 2, 1, 0 } };
  struct server_stage stage;
  guint i;
  guint j;

  for (i = 0; i < G_N_ELEMENTS (orders); i++)
    {
      stage_open (&stage);
      stage_send (&stage, GET ("/i1") GET ("/i2") GET ("/i3"));
      CU_ASSERT_EQUAL (stage.count, 3);
      for (j = 0; j < 3; j++)
        stage_answer (&stage, orders[i][j]);
      CU_ASSERT_TRUE (stage_received (&stage, "/i1 /i2 /i3"));
      CU_ASSERT_EQUAL (stage.server.requests.count, 0);
      CU_ASSERT_EQUAL (stage.server.ahead_count, 2);
      stage_send (&stage, GET ("/x4"));
      stage_answer (&stage, 3);
      CU_ASSERT_TRUE (stage_received (&stage, "/i1 /i2 /i3 /x4"));
      CU_ASSERT_EQUAL (stage_left (&stage), 0);
      stage_close (&stage);
    }
}

/* The same for requests that arrive byte by byte.  */
static void
test_byte_by_byte (void)
{
  static const char text[] = GET ("/i1") GET ("/i2") GET ("/x3");
  struct server_stage stage;
  gsize i;

  stage_open (&stage);
  for (i = 0; text[i] != '\0'; i++)
    {
      char one[2] = { text[i], '\0' };
      raw_send (stage.caller, one);
      g_main_context_iteration (NULL, FALSE);
    }
  stage_settle (&stage);
  CU_ASSERT_EQUAL (stage.count, 2);
  stage_answer (&stage, 1);
  stage_answer (&stage, 0);
  CU_ASSERT_EQUAL (stage.count, 3);
  stage_answer (&stage, 2);
  CU_ASSERT_TRUE (stage_received (&stage, "/i1 /i2 /x3"));
  stage_close (&stage);
}

/* Guards against a caller that takes more than its share: of 20 requests sent
   ahead no more than HTTP_AHEAD_MAX run at a time, and all are answered.  */
static void
test_twenty (void)
{
  struct server_stage stage;
  GString *text = g_string_new (NULL);
  GString *expected = g_string_new (NULL);
  guint i;

  stage_open (&stage);
  for (i = 0; i < 20; i++)
    {
      g_string_append_printf (text, "GET /i%u HTTP/1.1\r\nHost: h\r\n\r\n", i);
      g_string_append_printf (expected, "%s/i%u", i > 0 ? " " : "", i);
    }
  stage_send (&stage, text->str);
  CU_ASSERT_EQUAL (stage.count, HTTP_AHEAD_MAX);
  for (i = 0; i < 20; i += 2)
    {
      stage_answer (&stage, i + 1);
      stage_answer (&stage, i);
    }
  CU_ASSERT_EQUAL (stage.count, 20);
  CU_ASSERT_EQUAL (stage.running_max, HTTP_AHEAD_MAX);
  CU_ASSERT_TRUE (stage_received (&stage, expected->str));
  stage_close (&stage);
  g_string_free (text, TRUE);
  g_string_free (expected, TRUE);
}

/* Guards against a request that may run once and runs behind others, or others
   behind it, though the connection may end before its response: it starts when
   all responses before it were sent, and nothing starts before its own has
   ended.  */
static void
test_once (void)
{
  struct server_stage stage;

  stage_open (&stage);
  stage_send (&stage, GET ("/x1") GET ("/i2") GET ("/i3") GET ("/x4")
                          GET ("/i5") GET ("/x6"));
  CU_ASSERT_EQUAL (stage.count, 1);
  stage_begin_answer (&stage, 0, 3, "/x");
  CU_ASSERT_EQUAL (stage.count, 1);
  http_server_write (&stage.server, stage.requests[0].handle,
                     (const guint8 *)"1", 1);
  http_server_finish (&stage.server, stage.requests[0].handle);
  stage_settle (&stage);
  CU_ASSERT_EQUAL (stage.count, 3);
  stage_answer (&stage, 2);
  CU_ASSERT_EQUAL (stage.count, 3);
  stage_answer (&stage, 1);
  CU_ASSERT_EQUAL (stage.count, 4);
  stage_answer (&stage, 3);
  CU_ASSERT_EQUAL (stage.count, 5);
  stage_answer (&stage, 4);
  CU_ASSERT_EQUAL (stage.count, 6);
  stage_answer (&stage, 5);
  CU_ASSERT_TRUE (stage_received (&stage, "/x1 /i2 /i3 /x4 /i5 /x6"));
  stage_close (&stage);
}

/* A server whose user lets nothing run ahead serves one request at a time.  */
static void
test_one_at_a_time (void)
{
  struct server_stage stage;

  stage_open (&stage);
  http_server_run_ahead (&stage.server, NULL);
  stage_send (&stage, GET ("/i1") GET ("/i2") GET ("/i3"));
  CU_ASSERT_EQUAL (stage.count, 1);
  stage_answer (&stage, 0);
  CU_ASSERT_EQUAL (stage.count, 2);
  stage_answer (&stage, 1);
  stage_answer (&stage, 2);
  CU_ASSERT_TRUE (stage_received (&stage, "/i1 /i2 /i3"));
  CU_ASSERT_EQUAL (stage.server.ahead_count, 0);
  stage_close (&stage);
}

/* TEXT, a request that is to be alone, is so between two that run ahead.  */
static void
check_alone (const char *text, gsize body_bytes)
{
  struct server_stage stage;
  char *all = g_strconcat (GET ("/i1"), text, GET ("/i3"), NULL);

  stage_open (&stage);
  stage_send (&stage, all);
  CU_ASSERT_EQUAL (stage.count, 1);
  stage_answer (&stage, 0);
  CU_ASSERT_EQUAL (stage.count, 2);
  CU_ASSERT_TRUE (stage.requests[1].is_whole);
  CU_ASSERT_EQUAL (stage.requests[1].body_bytes, body_bytes);
  stage_answer (&stage, 1);
  CU_ASSERT_EQUAL (stage.count, 3);
  stage_answer (&stage, 2);
  CU_ASSERT_TRUE (stage_received (&stage, "/i1 /i2 /i3"));
  stage_close (&stage);
  g_free (all);
}

/* Guards against bodies that are read while other requests run: requests with
   a body, of either framing, and those of HTTP/1.0, whose response may end
   with the connection, are alone.  */
static void
test_alone (void)
{
  check_alone ("POST /i2 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n"
               "hello",
               5);
  check_alone ("POST /i2 HTTP/1.1\r\nHost: h\r\n"
               "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
               5);
  check_alone ("GET /i2 HTTP/1.0\r\nHost: h\r\n"
               "Connection: keep-alive\r\n\r\n",
               0);
}

/* A length of 0 is no body.  */
static void
test_empty_body (void)
{
  struct server_stage stage;

  stage_open (&stage);
  stage_send (&stage, GET ("/i1") "POST /i2 HTTP/1.1\r\nHost: h\r\n"
                                  "Content-Length: 0\r\n\r\n" GET ("/i3"));
  CU_ASSERT_EQUAL (stage.count, 3);
  stage_answer (&stage, 2);
  stage_answer (&stage, 1);
  stage_answer (&stage, 0);
  CU_ASSERT_TRUE (stage_received (&stage, "/i1 /i2 /i3"));
  stage_close (&stage);
}

/* Guards against a 100 Continue in the midst of responses to earlier
   requests.  */
static void
test_continue (void)
{
  struct server_stage stage;

  stage_open (&stage);
  stage_send (&stage,
              GET ("/i1") "POST /i2 HTTP/1.1\r\nHost: h\r\n"
                          "Expect: 100-continue\r\nContent-Length: 5\r\n\r\n");
  CU_ASSERT_EQUAL (stage.count, 1);
  CU_ASSERT_EQUAL (stage.received->len, 0);
  stage_answer (&stage, 0);
  CU_ASSERT_EQUAL (stage.count, 2);
  CU_ASSERT_TRUE (g_str_has_suffix (stage.received->str,
                                    "/i1HTTP/1.1 100 Continue\r\n\r\n"));
  stage_send (&stage, "hello" GET ("/i3"));
  CU_ASSERT_EQUAL (stage.requests[1].body_bytes, 5);
  stage_answer (&stage, 1);
  stage_answer (&stage, 2);
  CU_ASSERT_TRUE (g_str_has_suffix (stage.received->str, "/i3"));
  stage_close (&stage);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "order of the responses", test_order },
          { "requests byte by byte", test_byte_by_byte },
          { "20 requests ahead", test_twenty },
          { "requests that may run once", test_once },
          { "server without running ahead", test_one_at_a_time },
          { "requests that are alone", test_alone },
          { "body of length 0", test_empty_body },
          { "100 Continue behind others", test_continue },
          CU_TEST_INFO_NULL };

  return suite_run ("http server ahead", tests);
}
