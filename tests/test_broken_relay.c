#include "tests/exchange_bench.h"
#include "tests/raw_caller.h"

/* Responses without length that a server breaks off during an upload, as the
   caller of a node sees them.  */

#define UPLOAD                                                                \
  "POST /pay/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"     \
  "5\r\nhello\r\n"
#define UNKNOWN HEADER_OUTCOME ": unknown"
#define LAST_CHUNK "\r\n0\r\n\r\n"

/* Run the loop until CALLER has received COUNT responses or its connection is
   closed.  Return whether it is.  */
static gboolean
receive_until (int caller, GString *text, guint count)
{
  gint64 deadline = clock_usec () + CASE_USEC;
  gboolean closed = FALSE;

  while (!closed && raw_count_responses (text) < count
         && clock_usec () < deadline)
    {
      g_main_context_iteration (NULL, FALSE);
      closed = raw_receive (caller, text);
    }
  return closed;
}

/* Let the server begin a response and end its connection, by a reset if
   RESETS, within the caller's upload.  It does so after the caller has got the
   head if AFTER_HEAD; the caller goes on with its upload if WRITES_ON.  */
static void
check_broken_off (gboolean resets, gboolean after_head, gboolean writes_on)
{
  struct bench bench;
  GString *text = g_string_new (NULL);
  struct conn *server;
  int caller;

  bench_start (&bench, NULL);
  caller = raw_connect (FRONT_PORT);
  raw_send (caller, UPLOAD);
  run_until (&bench.requests);
  CU_ASSERT_EQUAL_FATAL (bench.connections->len, 1);
  server = g_ptr_array_index (bench.connections, 0);
  bench.response = "Content-Type: text/plain\r\n\r\na part of it";
  send_response (&bench, server);
  if (after_head)
    receive_until (caller, text, 1);
  g_ptr_array_remove_fast (bench.connections, server);
  if (resets)
    conn_reset (server);
  else
    conn_close (server);
  if (writes_on)
    raw_send (caller, "6\r\nworld!\r\n");
  CU_ASSERT_TRUE (receive_until (caller, text, G_MAXUINT)
                  || strstr (text->str, UNKNOWN) != NULL);
  CU_ASSERT_TRUE (strstr (text->str, "HTTP/1.1 200") == NULL
                  || strstr (text->str, LAST_CHUNK) == NULL);
  CU_ASSERT_EQUAL (bench.last_chunks, 0);
  g_string_free (text, TRUE);
  close (caller);
  bench_stop (&bench);
}

/* Guards against a caller that gets a part of a response as a whole one when
   the connection to the server is reset.  */
static void
test_reset (void)
{
  check_broken_off (TRUE, TRUE, TRUE);
  check_broken_off (TRUE, FALSE, TRUE);
  check_broken_off (TRUE, TRUE, FALSE);
}

/* The same when the server's process ends: its connection ends in order.  */
static void
test_close (void)
{
  check_broken_off (FALSE, TRUE, TRUE);
  check_broken_off (FALSE, FALSE, TRUE);
  check_broken_off (FALSE, TRUE, FALSE);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "reset during an upload", test_reset },
                                 { "close during an upload", test_close },
                                 CU_TEST_INFO_NULL };

  return suite_run ("broken relay", tests);
}
