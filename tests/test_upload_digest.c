#include "tests/exchange_bench.h"
#include "tests/raw_caller.h"
#include "types/request_digest.h"

/* The digest of a body that is passed on as it arrives, and the byte that is
   withheld until it is known.  */

#define UPLOAD_HEAD                                                           \
  "POST /pay/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"

/* Return the only exchange of the node, or NULL.  */
static struct exchange *
only_exchange (const struct bench *bench)
{
  const struct table *exchanges = &bench->node.proxy.exchanges;

  return table_get (exchanges, table_next (exchanges, HANDLE_NONE));
}

/* Return whether the server has received TEXT.  */
static gboolean
server_has (const struct bench *bench, const char *text)
{
  const struct conn *conn = g_ptr_array_index (bench->connections, 0);

  return g_strstr_len ((const char *)conn->receive_buffer->data,
                       (gssize)conn->receive_buffer->len, text)
         != NULL;
}

/* Run the loop until the server has TEXT, or CANCEL_USEC have passed.  */
static gboolean
server_gets (const struct bench *bench, const char *text)
{
  gint64 deadline = clock_usec () + CANCEL_USEC;

  while (!server_has (bench, text) && clock_usec () < deadline)
    g_main_context_iteration (NULL, FALSE);
  return server_has (bench, text);
}

/* Start an upload of which the server has got the head.  Return the socket of
   its caller.  */
static int
start_upload (struct bench *bench)
{
  int caller;

  bench_start (bench, NULL);
  caller = raw_connect (FRONT_PORT);
  raw_send (caller, UPLOAD_HEAD);
  run_until (&bench->requests);
  CU_ASSERT_PTR_NOT_NULL_FATAL (only_exchange (bench));
  return caller;
}

/* Guards against a body that has another digest if it comes in parts.  */
static void
test_parts (void)
{
  struct bench bench;
  int caller = start_upload (&bench);

  CU_ASSERT_EQUAL (only_exchange (&bench)->request.digest, 0);
  raw_send (caller, "5\r\nhello\r\n");
  CU_ASSERT_TRUE (server_gets (&bench, "hello"));
  raw_send (caller, "6\r\n world\r\n");
  CU_ASSERT_TRUE (server_gets (&bench, " world"));
  CU_ASSERT_EQUAL (only_exchange (&bench)->request.digest, 0);
  raw_send (caller, "0\r\n\r\n");
  CU_ASSERT_TRUE (server_gets (&bench, "\r\n0\r\n\r\n"));
  CU_ASSERT_TRUE (only_exchange (&bench)->request.has_body_digest);
  CU_ASSERT_EQUAL (only_exchange (&bench)->request.body_digest,
                   request_digest_of_body ("hello world", 11));
  close (caller);
  bench_stop (&bench);
}

/* The last byte is withheld until the body has ended; then the server gets all
   of it.  */
static void
test_withheld (void)
{
  struct bench bench;
  int caller = start_upload (&bench);

  only_exchange (&bench)->withholds_end = TRUE;
  raw_send (caller, "5\r\nhello\r\n");
  CU_ASSERT_TRUE (server_gets (&bench, "\r\nhell\r\n"));
  raw_send (caller, "2\r\n!!\r\n");
  CU_ASSERT_TRUE (server_gets (&bench, "\r\no!\r\n"));
  CU_ASSERT_EQUAL (bench.last_chunks, 0);
  raw_send (caller, "0\r\n\r\n");
  CU_ASSERT_TRUE (server_gets (&bench, "\r\n!\r\n0\r\n\r\n"));
  close (caller);
  bench_stop (&bench);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "body in parts", test_parts },
                                 { "withheld byte", test_withheld },
                                 CU_TEST_INFO_NULL };

  return suite_run ("upload_digest", tests);
}
