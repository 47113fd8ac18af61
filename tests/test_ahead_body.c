#include "tests/exchange_bench.h"
#include "tests/raw_caller.h"

/* Large responses of the local server to requests that run at the same time on
   one connection.  */

#define GET(target) "GET " target " HTTP/1.1\r\nHost: h\r\n\r\n"
#define SOCKET_BYTES 65536        /* send buffer of the server's sockets */
#define RUN_USEC ((gint64)100000) /* enough for all that is due */

/* What one response may occupy in the node's process: a body that is buffered,
   one more read, and what is held.  */
#define BUFFERED_MAX (2 * BODY_QUEUE_BYTES + 65536)

/* Let all requests run ahead.  */
static gboolean
may_run_ahead (const struct http_request_head *head, gpointer data)
{
  (void)head;
  (void)data;
  return TRUE;
}

/* Start BENCH, whose server answers what the test answers, and send COUNT
   requests in TEXT from a caller, which the node starts at the same time.
   Return the caller's socket.  */
static int
start (struct bench *bench, const char *text, guint count)
{
  gint64 deadline = clock_usec () + CASE_USEC;
  int caller;

  bench_start (bench, NULL);
  bench->keeps_serving = TRUE;
  /* A server that warms up gets fewer at a time, and the rest when it is too
     late for the case.  */
  bench->node.core.admission.limiter.warmup_until = 0;
  http_server_run_ahead (&bench->node.proxy.callers, may_run_ahead);
  caller = raw_connect (FRONT_PORT);
  raw_send (caller, text);
  while (bench->requests < count && clock_usec () < deadline)
    g_main_context_iteration (NULL, FALSE);
  CU_ASSERT_EQUAL_FATAL (bench->requests, count);
  return caller;
}

/* Return the server's connection on which the request for TARGET came, or NULL
   if it has not come yet.  Its socket takes little, so that a node that does
   not read on is noticed.  */
static struct conn *
search_conn (const struct bench *bench, const char *target)
{
  guint i;

  for (i = 0; i < bench->connections->len; i++)
    {
      struct conn *conn = g_ptr_array_index (bench->connections, i);
      const GByteArray *received = conn->receive_buffer;
      if (received->len > 0
          && g_strstr_len ((const char *)received->data, (gssize)received->len,
                           target)
                 != NULL)
        {
          g_socket_set_option (conn->socket, SOL_SOCKET, SO_SNDBUF,
                               SOCKET_BYTES, NULL);
          return conn;
        }
    }
  return NULL;
}

/* Return the server's connection on which the request for TARGET comes.  */
static struct conn *
find_conn (const struct bench *bench, const char *target)
{
  gint64 deadline = clock_usec () + CASE_USEC;
  struct conn *conn = search_conn (bench, target);

  while (conn == NULL && clock_usec () < deadline)
    {
      g_main_context_iteration (NULL, FALSE);
      conn = search_conn (bench, target);
    }
  CU_ASSERT_PTR_NOT_NULL_FATAL (conn);
  return conn;
}

/* Run the loop for RUN_USEC.  */
static void
run_on (void)
{
  gint64 deadline = clock_usec () + RUN_USEC;

  while (clock_usec () < deadline)
    g_main_context_iteration (NULL, FALSE);
}

/* Return text after a response's first two lines, for a body of LENGTH times
   FILL.  */
static char *
make_response (gsize length, char fill)
{
  char *body = g_strnfill (length, fill);
  char *text = g_strdup_printf ("Content-Length: %zu\r\n\r\n%s", length, body);

  g_free (body);
  return text;
}

/* Return the bytes of response bodies that all exchanges of BENCH buffer.  */
static gsize
buffered_bytes (const struct bench *bench)
{
  const struct table *exchanges = &bench->node.proxy.exchanges;
  struct handle h = table_next (exchanges, HANDLE_NONE);
  gsize count = 0;

  for (; handle_is_set (h); h = table_next (exchanges, h))
    {
      const struct exchange *exchange = table_get (exchanges, h);
      count += exchange->response_body.bytes->len;
    }
  return count;
}

/* Run the loop until CALLER has received LENGTH bytes or more, or the time of
   the case has passed.  */
static void
receive_bytes (int caller, GString *text, gsize length)
{
  gint64 deadline = clock_usec () + CASE_USEC;

  while (text->len < length && clock_usec () < deadline)
    {
      g_main_context_iteration (NULL, FALSE);
      raw_receive (caller, text);
    }
}

/* Guards against a response that is buffered without a bound while it waits
   for its turn, and against bytes of it that are lost: its server is not read
   on until the response before it was sent.  */
static void
test_waits_for_turn (void)
{
  enum
  {
    LENGTH = 4000000 /* more than the sockets take */
  };
  struct bench bench;
  char *large = make_response (LENGTH, 'b');
  GString *text = g_string_new (NULL);
  int caller = start (&bench, GET ("/pay/1") GET ("/pay/2"), 2);
  struct conn *second = find_conn (&bench, "/pay/2");
  const char *body;

  bench.response = large;
  send_response (&bench, second);
  run_on ();
  CU_ASSERT_TRUE (conn_unsent (second) > 0);
  CU_ASSERT_TRUE (buffered_bytes (&bench) <= BUFFERED_MAX);
  bench.response = "Content-Length: 5\r\n\r\nhello";
  send_response (&bench, find_conn (&bench, "/pay/1"));
  receive_bytes (caller, text, LENGTH);
  run_on ();
  raw_receive (caller, text);
  CU_ASSERT_EQUAL (raw_count_responses (text), 2);
  body = raw_find (text->str, "\r\n\r\nhelloHTTP/1.1 200 ");
  body = raw_find (body, "\r\n\r\nb");
  CU_ASSERT_EQUAL (strspn (body, "\r\nb"), 4 + LENGTH);
  CU_ASSERT_EQUAL (bench.node.proxy.exchanges.count, 0);
  close (caller);
  g_string_free (text, TRUE);
  g_free (large);
  bench_stop (&bench);
}

/* The same behind a large response whose caller reads slowly.  */
static void
test_slow_reader (void)
{
  enum
  {
    LENGTH = 12000000
  };
  struct bench bench;
  char *large = make_response (LENGTH, 'b');
  GString *text = g_string_new (NULL);
  int caller = start (&bench, GET ("/pay/1") GET ("/pay/2"), 2);
  struct conn *first = find_conn (&bench, "/pay/1");

  bench.response = large;
  send_response (&bench, find_conn (&bench, "/pay/2"));
  send_response (&bench, first);
  run_on ();
  CU_ASSERT_TRUE (conn_unsent (first) > 0);
  CU_ASSERT_TRUE (buffered_bytes (&bench) <= (gsize)2 * BUFFERED_MAX);
  receive_bytes (caller, text, (gsize)2 * LENGTH);
  run_on ();
  raw_receive (caller, text);
  CU_ASSERT_EQUAL (raw_count_responses (text), 2);
  CU_ASSERT_TRUE (text->len > (gsize)2 * LENGTH);
  CU_ASSERT_EQUAL (bench.node.proxy.exchanges.count, 0);
  close (caller);
  g_string_free (text, TRUE);
  g_free (large);
  bench_stop (&bench);
}

/* Guards against a response that breaks off while a part of it is held, and is
   sent in part or as whole, and against a connection that is closed for it,
   which loses the responses behind it: the caller gets an error in its
   place.  */
static void
test_breaks_off_held (void)
{
  struct bench bench;
  GString *text = g_string_new (NULL);
  int caller = start (&bench, GET ("/pay/1") GET ("/pay/2") GET ("/pay/3"), 3);
  struct conn *second = find_conn (&bench, "/pay/2");
  struct conn *third = find_conn (&bench, "/pay/3");
  gint64 deadline;

  bench.response = "Content-Length: 10\r\n\r\nsecond";
  send_response (&bench, second);
  bench.response = "Content-Length: 5\r\n\r\nthird";
  send_response (&bench, third);
  run_on ();
  g_ptr_array_remove_fast (bench.connections, second);
  conn_close (second);
  run_on ();
  bench.response = "Content-Length: 5\r\n\r\nfirst";
  send_response (&bench, find_conn (&bench, "/pay/1"));
  deadline = clock_usec () + CASE_USEC;
  while (raw_count_responses (text) < 3 && clock_usec () < deadline)
    {
      g_main_context_iteration (NULL, FALSE);
      raw_receive (caller, text);
    }
  run_on ();
  raw_receive (caller, text);
  CU_ASSERT_EQUAL (raw_count_responses (text), 3);
  CU_ASSERT_PTR_NOT_NULL (strstr (text->str, "\r\n\r\nfirstHTTP/1.1 504 "));
  CU_ASSERT_PTR_NULL (strstr (text->str, "second"));
  CU_ASSERT_TRUE (g_str_has_suffix (text->str, "\r\n\r\nthird"));
  CU_ASSERT_EQUAL (bench.node.proxy.exchanges.count, 0);
  CU_ASSERT_EQUAL (bench.node.core.admission.busy_slots, 0);
  close (caller);
  g_string_free (text, TRUE);
  bench_stop (&bench);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "large response that waits for its turn", test_waits_for_turn },
          { "large response behind a slow reader", test_slow_reader },
          { "held response breaks off", test_breaks_off_held },
          CU_TEST_INFO_NULL };

  return suite_run ("ahead body", tests);
}
