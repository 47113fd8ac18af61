#include "tests/http_server_stage.h"

/* What is held on a connection on which requests run at the same time.  */

/* Write LENGTH bytes to the response to request I as they are taken, beginning
   behind the first DONE.  Return how many were written so far.  */
static gsize
write_on (struct server_stage *stage, guint i, const char *bytes, gsize length,
          gsize done)
{
  struct handle request = stage->requests[i].handle;
  gsize taken;

  do
    {
      taken = http_server_write (&stage->server, request,
                                 (const guint8 *)bytes + done, length - done);
      done += taken;
      http_server_flush (&stage->server, request);
    }
  while (taken > 0 && done < length);
  return done;
}

/* Guards against held responses without a bound, and against bytes that are
   dropped at it.  */
static void
test_held_limit (void)
{
  enum
  {
    LENGTH = 200000
  };
  struct server_stage stage;
  struct http_response response = { .status = 200, .body_length = -1 };
  char *second = g_strnfill (LENGTH, 'b');
  char *third = g_strnfill (40000, 'c');
  gsize second_done;
  gsize third_done;

  stage_open (&stage);
  stage_send (&stage, GET ("/i1") GET ("/i2") GET ("/i3"));
  http_server_respond (&stage.server, stage.requests[2].handle, &response);
  third_done = write_on (&stage, 2, third, 40000, 0);
  CU_ASSERT_EQUAL (third_done, 40000);
  http_server_finish (&stage.server, stage.requests[2].handle);
  http_server_respond (&stage.server, stage.requests[1].handle, &response);
  second_done = write_on (&stage, 1, second, LENGTH, 0);
  CU_ASSERT_TRUE (second_done > 0 && second_done < LENGTH);
  CU_ASSERT_TRUE (
      http_server_is_full (&stage.server, stage.requests[1].handle));
  CU_ASSERT_TRUE (stage_conn (&stage)->held_bytes <= HTTP_HELD_BYTES_MAX);
  stage_settle (&stage);
  CU_ASSERT_EQUAL (stage.requests[1].drained, 0);
  stage_answer (&stage, 0);
  CU_ASSERT_EQUAL (stage.requests[1].drained, 1);
  CU_ASSERT_FALSE (
      http_server_is_full (&stage.server, stage.requests[1].handle));
  second_done = write_on (&stage, 1, second, LENGTH, second_done);
  CU_ASSERT_EQUAL (second_done, LENGTH);
  http_server_finish (&stage.server, stage.requests[1].handle);
  stage_settle (&stage);
  CU_ASSERT_EQUAL (stage.server.requests.count, 0);
  CU_ASSERT_EQUAL (stage_conn (&stage)->held_bytes, 0);
  CU_ASSERT_EQUAL (raw_count_responses (stage.received), 3);
  CU_ASSERT_TRUE (g_str_has_suffix (stage.received->str, "0\r\n\r\n"));
  stage_close (&stage);
  g_free (second);
  g_free (third);
}

/* A head that does not fit into what is held is written in its turn.  */
static void
test_held_head (void)
{
  struct server_stage stage;
  struct http_response response = { .status = 200, .body_length = 2 };
  char *value = g_strnfill (60000, 'v');

  stage_open (&stage);
  response.headers = soup_message_headers_new (SOUP_MESSAGE_HEADERS_RESPONSE);
  soup_message_headers_append (response.headers, "X-Long", value);
  stage_send (&stage, GET ("/i1") GET ("/i2") GET ("/i3"));
  CU_ASSERT_TRUE (http_server_respond (&stage.server, stage.requests[1].handle,
                                       &response));
  CU_ASSERT_FALSE (http_server_respond (&stage.server,
                                        stage.requests[2].handle, &response));
  http_server_write (&stage.server, stage.requests[1].handle,
                     (const guint8 *)"ok", 2);
  http_server_finish (&stage.server, stage.requests[1].handle);
  stage_answer (&stage, 0);
  CU_ASSERT_EQUAL (stage.requests[2].drained, 1);
  CU_ASSERT_TRUE (http_server_respond (&stage.server, stage.requests[2].handle,
                                       &response));
  http_server_write (&stage.server, stage.requests[2].handle,
                     (const guint8 *)"ok", 2);
  http_server_finish (&stage.server, stage.requests[2].handle);
  stage_settle (&stage);
  CU_ASSERT_EQUAL (raw_count_responses (stage.received), 3);
  CU_ASSERT_EQUAL (stage.server.requests.count, 0);
  soup_message_headers_unref (response.headers);
  stage_close (&stage);
  g_free (value);
}

/* Guards against requests that are received ahead without a bound: what waits
   unread is bounded, however many responses are sent meanwhile.  */
static void
test_received_limit (void)
{
  enum
  {
    READ_MAX = 65536, /* bytes of one read */
    KEPT_MAX = 65536  /* bytes behind which no more is read */
  };
  struct server_stage stage;
  char *filler = g_strnfill (4000, 'f');
  char *text = g_strdup_printf ("GET /x HTTP/1.1\r\nHost: h\r\n"
                                "X-Long: %s\r\n\r\n",
                                filler);
  gsize most = 0;
  guint i;

  stage_open (&stage);
  stage_send (&stage, GET ("/i1") GET ("/i2") GET ("/i3"));
  for (i = 0; i < 200; i++)
    {
      if (send (stage.caller, text, strlen (text), MSG_DONTWAIT | MSG_NOSIGNAL)
          != (ssize_t)strlen (text))
        break;
      g_main_context_iteration (NULL, FALSE);
    }
  for (i = 0; i < 3; i++)
    {
      stage_settle (&stage);
      most = MAX (most, stage_conn (&stage)->conn->receive_buffer->len);
      stage_answer (&stage, i);
    }
  CU_ASSERT_TRUE (most > KEPT_MAX && most <= KEPT_MAX + READ_MAX);
  stage_settle (&stage);
  CU_ASSERT_TRUE (stage_conn (&stage)->conn->receive_buffer->len
                  <= KEPT_MAX + READ_MAX);
  stage_close (&stage);
  g_free (text);
  g_free (filler);
}

/* A large response behind a slow reader: the next one is sent whole behind it,
   and is reported as sent only then.  */
static void
test_slow_reader (void)
{
  enum
  {
    LENGTH = 20000000 /* more than the sockets take */
  };
  struct server_stage stage;
  struct http_response response = { .status = 200, .body_length = LENGTH };
  char *body = g_strnfill (LENGTH, 'b');
  gint64 deadline;

  stage_open (&stage);
  stage_send (&stage, GET ("/i1") GET ("/i2") GET ("/i3"));
  stage_answer (&stage, 2);
  http_server_respond (&stage.server, stage.requests[0].handle, &response);
  http_server_write (&stage.server, stage.requests[0].handle,
                     (const guint8 *)body, LENGTH);
  CU_ASSERT_FALSE (
      http_server_finish (&stage.server, stage.requests[0].handle));
  http_server_answer (&stage.server, stage.requests[1].handle, 200, NULL,
                      "/i2");
  stage_settle_reading (&stage, FALSE);
  CU_ASSERT_EQUAL (stage.requests[0].sent, 0);
  CU_ASSERT_EQUAL (stage.requests[1].sent, 0);
  deadline = clock_usec () + STAGE_CASE_USEC;
  while (stage.requests[2].sent == 0 && clock_usec () < deadline)
    stage_settle (&stage);
  CU_ASSERT_EQUAL (stage.requests[0].sent, 1);
  CU_ASSERT_EQUAL (stage.requests[1].sent, 1);
  CU_ASSERT_EQUAL (stage.requests[2].sent, 1);
  CU_ASSERT_EQUAL (raw_count_responses (stage.received), 3);
  CU_ASSERT_TRUE (g_str_has_suffix (stage.received->str, "/i3"));
  stage_close (&stage);
  g_free (body);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "limit of held responses", test_held_limit },
          { "head that cannot be held", test_held_head },
          { "limit of requests received ahead", test_received_limit },
          { "slow reader", test_slow_reader },
          CU_TEST_INFO_NULL };

  return suite_run ("http server held", tests);
}
