#include "tests/exchange_bench.h"
#include "tests/raw_caller.h"

/* Requests whose framing is not valid, and proper ones of rare forms, from a
   caller through a node to a server.  */

#define SMUGGLED "GET /pay/smuggled HTTP/1.1\r\nHost: h\r\n\r\n"
#define SERVED "HTTP/1.1 200 "
#define REFUSED "HTTP/1.1 400 "

/* What the server and the caller have got in a case.  */
struct seen
{
  guint requests;    /* requests that the server got */
  guint last_chunks; /* uploads whose last chunk the server got */
  gboolean closed;   /* the node closed the caller's connection */
  GString *received; /* what the caller received */
};

/* Send TEXT from a caller, STEP bytes at a time, and run the loop until COUNT
   responses have arrived or the node has closed the connection.  */
static void
play_in_steps (const char *text, gsize step, guint count, struct seen *seen)
{
  struct bench bench;
  gint64 deadline = clock_usec () + CANCEL_USEC;
  guint responses = 0;
  gsize sent = 0;
  int caller;

  memset (seen, 0, sizeof *seen);
  seen->received = g_string_new (NULL);
  bench_start (&bench, "Content-Length: 5\r\n\r\nhello");
  bench.keeps_serving = TRUE;
  caller = raw_connect (FRONT_PORT);
  while (!seen->closed && responses < count && clock_usec () < deadline)
    {
      char *part = g_strndup (text + sent, step);
      if (part[0] != '\0')
        raw_send (caller, part);
      sent += strlen (part);
      g_free (part);
      g_main_context_iteration (NULL, FALSE);
      seen->closed = raw_receive (caller, seen->received);
      responses = raw_count_responses (seen->received);
    }
  seen->requests = bench.requests;
  seen->last_chunks = bench.last_chunks;
  close (caller);
  bench_stop (&bench);
}

/* The same in one write.  */
static void
play (const char *text, guint count, struct seen *seen)
{
  play_in_steps (text, strlen (text), count, seen);
}

/* The request HEAD is refused, and what follows is not read as a request.  */
static void
check_refused (const char *head, const char *body)
{
  char *text = g_strconcat (head, "\r\n", body, SMUGGLED, NULL);
  struct seen seen;

  play (text, 3, &seen);
  CU_ASSERT_TRUE (g_str_has_prefix (seen.received->str, REFUSED));
  CU_ASSERT_PTR_NOT_NULL (strstr (seen.received->str, "Connection: close"));
  CU_ASSERT_PTR_NULL (strstr (seen.received->str, SERVED));
  CU_ASSERT_TRUE (seen.closed);
  CU_ASSERT_EQUAL (seen.requests, 0);
  g_string_free (seen.received, TRUE);
  g_free (text);
}

/* Guards against a request that is smuggled inside another: two framings that
   disagree, or one that is not valid.  */
static void
test_two_framings (void)
{
  static const char *const framings[]
      = { "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
          "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
          "Content-Length: 5\r\nContent-Length: 6\r\n",
          "Content-Length: 5, 6\r\n",
          "Content-Length: +5\r\n",
          "Content-Length: -5\r\n",
          "Content-Length: 0x5\r\n",
          "Content-Length: 5 5\r\n",
          "Content-Length: \r\n",
          "Content-Length: 99999999999999999999\r\n",
          "Transfer-Encoding: gzip\r\n",
          "Transfer-Encoding: chunked, gzip\r\n",
          "Transfer-Encoding: chunked, chunked\r\n",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
          "Transfer-Encoding: xchunked\r\n",
          "Transfer-Encoding : chunked\r\n",
          "Content-Length : 5\r\n",
          "X-A: b\r\n Content-Length: 5\r\n",
          "X-A: b\nContent-Length: 5\r\n",
          "no field\r\nContent-Length: 5\r\n" };
  guint i;

  for (i = 0; i < G_N_ELEMENTS (framings); i++)
    {
      char *head = g_strconcat ("POST /pay/x HTTP/1.1\r\nHost: h\r\n",
                                framings[i], NULL);
      check_refused (head, "5\r\nhello\r\n0\r\n\r\n");
      g_free (head);
    }
  check_refused ("POST /pay/x HTTP/1.0\r\nHost: h\r\n"
                 "Transfer-Encoding: chunked\r\n",
                 "0\r\n\r\n");
}

/* The same for request lines and Host fields.  */
static void
test_odd_head (void)
{
  check_refused ("GET  /pay/x HTTP/1.1\r\nHost: h\r\n", "");
  check_refused ("GET /pay/x  HTTP/1.1\r\nHost: h\r\n", "");
  check_refused ("GET /pay/ x HTTP/1.1\r\nHost: h\r\n", "");
  check_refused ("GET /pay/x\r\nHost: h\r\n", "");
  check_refused ("G(T /pay/x HTTP/1.1\r\nHost: h\r\n", "");
  check_refused ("GET /pay/x HTTP/1.1\r\n", "");
  check_refused ("GET /pay/x HTTP/1.1\r\nHost: h\r\nHost: g\r\n", "");
  check_refused ("GET pay/x HTTP/1.1\r\nHost: h\r\n", "");
}

/* Guards against an upload that a size line which is none ends as whole: the
   server sees it broken off, and what follows is not run.  */
static void
test_odd_size_line (void)
{
  static const char *const sizes[]
      = { "zz", "-1", "+5", "0x5", "", "5 5", "8000000000000000", "5\n" };
  guint i;

  for (i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      char *text = g_strconcat (
          "POST /pay/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
          "\r\n5\r\nhello\r\n",
          sizes[i], "\r\nhello\r\n0\r\n\r\n" SMUGGLED, NULL);
      struct seen seen;
      play (text, 3, &seen);
      CU_ASSERT_TRUE (seen.closed);
      CU_ASSERT_EQUAL (seen.last_chunks, 0);
      CU_ASSERT_TRUE (seen.requests <= 1);
      CU_ASSERT_PTR_NULL (strstr (seen.received->str, "smuggled"));
      g_string_free (seen.received, TRUE);
      g_free (text);
    }
}

/* The request TEXT, sent twice on one connection, STEP bytes at a time, is
   served twice.  */
static void
check_served_in_steps (const char *text, gsize step)
{
  char *twice = g_strconcat (text, text, NULL);
  struct seen seen;
  const char *second;

  play_in_steps (twice, step, 2, &seen);
  CU_ASSERT_TRUE (g_str_has_prefix (seen.received->str, SERVED));
  second = strstr (seen.received->str + 1, SERVED);
  CU_ASSERT_PTR_NOT_NULL (second);
  CU_ASSERT_FALSE (seen.closed);
  CU_ASSERT_EQUAL (seen.requests, 2);
  g_string_free (seen.received, TRUE);
  g_free (twice);
}

/* The same in one write, and byte by byte.  */
static void
check_served (const char *text)
{
  check_served_in_steps (text, 2 * strlen (text));
  check_served_in_steps (text, 1);
}

/* Proper requests: bodies of both framings, extensions, trailers, sizes in
   both cases and with leading zeros, an empty line before a request, absolute
   targets, equal lengths, and an HTTP/1.0 client that keeps the
   connection.  */
static void
test_proper (void)
{
  static const char chunked[] = "POST /pay/x HTTP/1.1\r\nHost: "
                                "h\r\nTransfer-Encoding: chunked\r\n\r\n";
  static const char *const bodies[]
      = { "0\r\n\r\n", "5\r\nhello\r\n0\r\n\r\n",
          "A\r\n0123456789\r\na\r\n0123456789\r\n0\r\n\r\n",
          "0005;x=\"y\"\r\nhello\r\n00 ;z\r\n\r\n",
          "5\r\nhello\r\n0\r\nX-A: b\r\nX-B: c\r\n\r\n" };
  guint i;

  for (i = 0; i < G_N_ELEMENTS (bodies); i++)
    {
      char *text = g_strconcat (chunked, bodies[i], NULL);
      check_served (text);
      g_free (text);
    }
  check_served ("GET /pay/x HTTP/1.1\r\nHost: h\r\n\r\n");
  check_served ("\r\nGET /pay/x HTTP/1.1\r\nHost: h\r\n\r\n");
  check_served ("GET http://h/pay/x HTTP/1.1\r\nHost: h\r\n\r\n");
  check_served ("POST /pay/x HTTP/1.1\r\nhost:h\r\n"
                "CONTENT-LENGTH:5\r\n\r\nhello");
  check_served ("GET /pay/x HTTP/1.0\r\nHost: h\r\n"
                "Connection: keep-alive\r\n\r\n");
}

/* Guards against a request that is read and dropped behind an answer with
   Connection: close: its caller cannot know that it did not run.  Without
   being read it ends with a reset.  */
static void
test_unread_behind_close (void)
{
  struct bench bench;
  GString *received = g_string_new (NULL);
  gint64 deadline = clock_usec () + CANCEL_USEC;
  gint64 linger_end;
  int error = 0;
  int caller;

  bench_start (&bench, "Content-Length: 5\r\n\r\nhello");
  bench.keeps_serving = TRUE;
  bench.node.proxy.leaving = TRUE;
  caller = raw_connect (FRONT_PORT);
  raw_send (caller, "GET /pay/x HTTP/1.1\r\nHost: h\r\n\r\n");
  while (!raw_receive (caller, received) && clock_usec () < deadline)
    g_main_context_iteration (NULL, FALSE);
  CU_ASSERT_PTR_NOT_NULL (strstr (received->str, "Connection: close"));
  raw_send (caller, SMUGGLED);
  linger_end = clock_usec () + 2 * CANCEL_USEC;
  while (error == 0 && clock_usec () < linger_end)
    {
      socklen_t length = sizeof error;
      g_main_context_iteration (NULL, FALSE);
      getsockopt (caller, SOL_SOCKET, SO_ERROR, &error, &length);
    }
  CU_ASSERT_EQUAL (error, EPIPE);
  CU_ASSERT_EQUAL (bench.requests, 1);
  close (caller);
  g_string_free (received, TRUE);
  bench_stop (&bench);
}

/* A caller that waits for 100 Continue gets it, and its upload is served.  */
static void
test_continue (void)
{
  static const char head[]
      = "POST /pay/x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
        "Content-Length: 5\r\n\r\n";
  struct bench bench;
  GString *received = g_string_new (NULL);
  gint64 deadline = clock_usec () + CANCEL_USEC;
  int caller;

  bench_start (&bench, "Content-Length: 5\r\n\r\nhello");
  caller = raw_connect (FRONT_PORT);
  raw_send (caller, head);
  while (strstr (received->str, "\r\n\r\n") == NULL
         && clock_usec () < deadline)
    {
      g_main_context_iteration (NULL, FALSE);
      raw_receive (caller, received);
    }
  CU_ASSERT_TRUE (g_str_has_prefix (received->str, "HTTP/1.1 100 "));
  raw_send (caller, "hello");
  while (strstr (received->str, SERVED) == NULL && clock_usec () < deadline)
    {
      g_main_context_iteration (NULL, FALSE);
      raw_receive (caller, received);
    }
  CU_ASSERT_PTR_NOT_NULL (strstr (received->str, SERVED));
  close (caller);
  g_string_free (received, TRUE);
  bench_stop (&bench);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "request with two framings", test_two_framings },
          { "request with an invalid head", test_odd_head },
          { "upload with an invalid size line", test_odd_size_line },
          { "proper requests", test_proper },
          { "100 Continue", test_continue },
          { "request behind an answer that closes", test_unread_behind_close },
          CU_TEST_INFO_NULL };

  return suite_run ("http server", tests);
}
