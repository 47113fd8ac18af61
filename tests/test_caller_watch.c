#include "tests/exchange_bench.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

/* Callers that leave before their requests are answered.  */

/* More than a node buffers; the rest fits into the socket, so that the close
   behind it arrives.  */
#define UPLOAD_BYTES (BODY_QUEUE_BYTES + BODY_CHUNK_BYTES)
#define SHORT_REQUEST "GET /pay/x HTTP/1.1\r\nHost: h\r\n\r\n"

/* Connect a caller to the node and return its socket, which does not
   block after that.  */
static int
connect_caller (void)
{
  struct sockaddr_in to = { .sin_family = AF_INET,
                            .sin_port = htons (FRONT_PORT),
                            .sin_addr.s_addr = htonl (LOCAL) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  CU_ASSERT_EQUAL_FATAL (connect (fd, (struct sockaddr *)&to, sizeof to), 0);
  return fd;
}

/* Send TEXT on FD.  */
static void
send_text (int fd, const char *text)
{
  CU_ASSERT_EQUAL (send (fd, text, strlen (text), MSG_NOSIGNAL),
                   (ssize_t)strlen (text));
}

/* Send an ordinary request and wait for its response.  */
static void
serve_one (struct bench *bench)
{
  bench->ended = FALSE;
  send_request (bench);
  run_until ((const guint *)&bench->ended);
  CU_ASSERT_EQUAL (bench->code, ERR_NONE);
}

/* A request that the node reads after its caller has closed the connection
   does not reach the server, even if a connection to the server is idle.  */
static void
test_left_before_read (void)
{
  struct bench bench;
  int caller;

  bench_start (&bench, "Content-Length: 5\r\n\r\nhello");
  bench.keeps_serving = TRUE;
  serve_one (&bench);
  caller = connect_caller ();
  send_text (caller, SHORT_REQUEST);
  close (caller);
  serve_one (&bench);
  serve_one (&bench);
  CU_ASSERT_EQUAL (bench.requests, 3);
  bench_stop (&bench);
}

/* The same for an upload, whose head is read with the body and the close
   behind it.  */
static void
test_left_before_upload_read (void)
{
  static const char body[2 * BODY_CHUNK_BYTES];
  struct bench bench;
  char *head = g_strdup_printf ("POST /pay/x HTTP/1.1\r\nHost: h\r\n"
                                "Content-Length: %zu\r\n\r\n",
                                sizeof body);
  int caller;

  bench_start (&bench, "Content-Length: 5\r\n\r\nhello");
  bench.keeps_serving = TRUE;
  serve_one (&bench);
  caller = connect_caller ();
  send_text (caller, head);
  CU_ASSERT_EQUAL (send (caller, body, sizeof body, MSG_NOSIGNAL),
                   (ssize_t)sizeof body);
  close (caller);
  serve_one (&bench);
  serve_one (&bench);
  CU_ASSERT_EQUAL (bench.requests, 3);
  g_free (head);
  bench_stop (&bench);
}

/* A caller that has sent bytes of its next request and then leaves is
   noticed.  */
static void
test_left_behind_next_request (void)
{
  struct bench bench;
  gint64 left_at;
  int caller;

  bench_start (&bench, NULL);
  caller = connect_caller ();
  send_text (caller, SHORT_REQUEST);
  run_until (&bench.requests);
  send_text (caller, "GET /pay/y");
  while (g_main_context_iteration (NULL, FALSE))
    continue;
  close (caller);
  left_at = clock_usec ();
  run_until (&bench.closed_connections);
  CU_ASSERT_TRUE (clock_usec () - left_at < CANCEL_USEC);
  CU_ASSERT_EQUAL (bench.closed_connections, 1);
  CU_ASSERT_EQUAL (bench.node.core.admission.busy_slots, 0);
  bench_stop (&bench);
}

/* Send the head of an upload, and as much of its body as the node takes.  */
static void
send_upload (int fd, const struct bench *bench)
{
  static char bytes[UPLOAD_BYTES];
  const struct proxy *proxy = &bench->node.proxy;
  guint32 count = proxy->exchanges.count;
  gint64 deadline = clock_usec () + CANCEL_USEC;
  char *head = g_strdup_printf ("POST /pay/x HTTP/1.1\r\nHost: h\r\n"
                                "Content-Length: %u\r\n\r\n",
                                UPLOAD_BYTES);

  send_text (fd, head);
  g_free (head);
  while (proxy->exchanges.count == count && clock_usec () < deadline)
    g_main_context_iteration (NULL, TRUE);
  send (fd, bytes, sizeof bytes, MSG_DONTWAIT | MSG_NOSIGNAL);
  while (proxy->counters.request_bytes < BODY_QUEUE_BYTES
         && clock_usec () < deadline)
    g_main_context_iteration (NULL, TRUE);
}

/* A caller that leaves during a long upload is noticed while the upload waits
   for the server and the node reads no more of it.  */
static void
test_left_during_paused_upload (void)
{
  struct bench bench;
  const struct table *exchanges = &bench.node.proxy.exchanges;
  gint64 left_at;
  guint32 count;
  int caller;

  bench_start (&bench, NULL);
  fill_slots (&bench);
  count = exchanges->count;
  caller = connect_caller ();
  send_upload (caller, &bench);
  CU_ASSERT_EQUAL (exchanges->count, count + 1);
  CU_ASSERT_TRUE (bench.node.proxy.counters.request_bytes >= BODY_QUEUE_BYTES);
  close (caller);
  left_at = clock_usec ();
  while (exchanges->count > count && clock_usec () < left_at + CANCEL_USEC)
    g_main_context_iteration (NULL, TRUE);
  CU_ASSERT_EQUAL (exchanges->count, count);
  bench_stop (&bench);
}

int
main (void)
{
  static CU_TestInfo tests[] = {
    { "caller left before its request was read", test_left_before_read },
    { "caller left before its upload was read", test_left_before_upload_read },
    { "caller left behind bytes of its next request",
      test_left_behind_next_request },
    { "caller left during a paused upload", test_left_during_paused_upload },
    CU_TEST_INFO_NULL
  };

  return suite_run ("caller watch", tests);
}
