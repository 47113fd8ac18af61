#include "tests/exchange_bench.h"
#include "tests/raw_caller.h"

/* Uploads in chunks that end before their last chunk.  */

#define UPLOAD_HEAD                                                           \
  "POST /pay/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
/* More than a node buffers; the rest fits into the socket, so that the close
   behind it arrives.  */
#define LONG_BYTES (BODY_QUEUE_BYTES + BODY_CHUNK_BYTES)

/* End the connection CALLER as END says.  The server must see its request
   broken off, or none, and OTHERS, the other exchanges, remain.  */
static void
check_end (struct bench *bench, int caller, enum raw_end end, guint32 others)
{
  const struct table *exchanges = &bench->node.proxy.exchanges;
  gint64 deadline = clock_usec () + CANCEL_USEC;

  raw_end (caller, end);
  while (clock_usec () < deadline
         && (bench->node.proxy.counters.caller_requests <= others
             || exchanges->count > others
             || (others == 0 && bench->closed_connections < bench->requests)))
    g_main_context_iteration (NULL, FALSE);
  CU_ASSERT_EQUAL (exchanges->count, others);
  CU_ASSERT_EQUAL (bench->last_chunks, 0);
  if (end == RAW_HALF_CLOSE)
    close (caller);
}

/* Send UPLOAD to the node, and end the connection as END says: when the server
   has got the head if AFTER_HEAD, else at once.  The server must see a request
   that is broken off, or none.  */
static void
check_broken_off (const char *upload, enum raw_end end, gboolean after_head)
{
  struct bench bench;
  int caller;

  bench_start (&bench, NULL);
  caller = raw_connect (FRONT_PORT);
  raw_send (caller, upload);
  if (after_head)
    run_until (&bench.requests);
  check_end (&bench, caller, end, 0);
  CU_ASSERT_EQUAL (bench.closed_connections, bench.requests);
  bench_stop (&bench);
}

/* The same for each kind of end, before and after the head is passed on.  */
static void
check_all_ends (const char *upload)
{
  int end;

  for (end = 0; end < RAW_END_COUNT; end++)
    {
      check_broken_off (upload, end, FALSE);
      check_broken_off (upload, end, TRUE);
    }
}

/* Guards against a server that gets a part of an upload as the whole: the
   caller leaves between two chunks, or behind the data of one.  */
static void
test_between_chunks (void)
{
  check_all_ends (UPLOAD_HEAD "5\r\nhello\r\n");
  check_all_ends (UPLOAD_HEAD "5\r\nhello\r\n6\r\nworld!\r\n");
  check_all_ends (UPLOAD_HEAD "5\r\nhello");
  check_all_ends (UPLOAD_HEAD "5\r\nhello\r");
}

/* The same inside a chunk, a size line, the last chunk or a trailer, and
   before the first chunk.  */
static void
test_inside_chunk (void)
{
  check_all_ends (UPLOAD_HEAD);
  check_all_ends (UPLOAD_HEAD "5\r\nhel");
  check_all_ends (UPLOAD_HEAD "5\r\nhello\r\n6");
  check_all_ends (UPLOAD_HEAD "5\r\nhello\r\n0");
  check_all_ends (UPLOAD_HEAD "5\r\nhello\r\n0\r\n");
  check_all_ends (UPLOAD_HEAD "5\r\nhello\r\n0\r\nX-A: b\r\n");
}

/* A body of known length.  */
static void
test_inside_length (void)
{
  check_all_ends ("POST /pay/x HTTP/1.1\r\nHost: h\r\n"
                  "Content-Length: 100000\r\n\r\nhello");
}

/* Return an upload without its last chunk, longer than a node buffers.  */
static char *
long_upload (void)
{
  GString *upload = g_string_new (UPLOAD_HEAD);
  char *data = g_strnfill (0x1000, 'x');
  guint i;

  for (i = 0; i < LONG_BYTES / 0x1000; i++)
    g_string_append_printf (upload, "1000\r\n%s\r\n", data);
  g_free (data);
  return g_string_free (upload, FALSE);
}

/* A long upload.  */
static void
test_long (void)
{
  char *upload = long_upload ();

  check_all_ends (upload);
  g_free (upload);
}

/* An upload whose answer has begun.  */
static void
test_answer_begun (void)
{
  int end;

  for (end = 0; end < RAW_END_COUNT; end++)
    {
      GString *received = g_string_new (NULL);
      gint64 deadline = clock_usec () + CANCEL_USEC;
      struct bench bench;
      int caller;
      bench_start (&bench, "Content-Length: 50\r\n\r\nhello");
      caller = raw_connect (FRONT_PORT);
      raw_send (caller, UPLOAD_HEAD "5\r\nhello\r\n");
      while (strstr (received->str, "hello") == NULL
             && clock_usec () < deadline)
        {
          g_main_context_iteration (NULL, FALSE);
          raw_receive (caller, received);
        }
      CU_ASSERT_PTR_NOT_NULL (strstr (received->str, "hello"));
      check_end (&bench, caller, end, 0);
      g_string_free (received, TRUE);
      bench_stop (&bench);
    }
}

/* Return the exchange among EXCHANGES whose body comes in chunks, or NULL.  */
static const struct exchange *
find_chunked (const struct table *exchanges)
{
  struct handle h = table_next (exchanges, HANDLE_NONE);

  for (; handle_is_set (h); h = table_next (exchanges, h))
    {
      const struct exchange *exchange = table_get (exchanges, h);
      if (exchange->request_length < 0)
        return exchange;
    }
  return NULL;
}

/* Return whether the node has stopped reading the upload in EXCHANGES.  */
static gboolean
is_paused (const struct table *exchanges)
{
  const struct exchange *exchange = find_chunked (exchanges);

  return exchange != NULL && exchange->source.u.caller.body_paused;
}

/* The same for UPLOAD while it waits, since the server is full.  PAUSES: the
   node stops reading it.  */
static void
check_queued (const char *upload, gboolean pauses, enum raw_end end)
{
  gint64 deadline = clock_usec () + CANCEL_USEC;
  struct bench bench;
  const struct table *exchanges = &bench.node.proxy.exchanges;
  guint32 others;
  int caller;

  bench_start (&bench, NULL);
  fill_slots (&bench);
  others = exchanges->count;
  caller = raw_connect (FRONT_PORT);
  raw_send (caller, upload);
  while (clock_usec () < deadline
         && (bench.node.proxy.counters.request_bytes == 0
             || (pauses && !is_paused (exchanges))))
    g_main_context_iteration (NULL, FALSE);
  CU_ASSERT_EQUAL (exchanges->count, others + 1);
  CU_ASSERT_EQUAL (is_paused (exchanges), pauses);
  check_end (&bench, caller, end, others);
  bench_stop (&bench);
}

/* An upload in the queue.  */
static void
test_queued (void)
{
  int end;

  for (end = 0; end < RAW_END_COUNT; end++)
    check_queued (UPLOAD_HEAD "5\r\nhello\r\n", FALSE, end);
}

/* An upload that the node has stopped reading: the end of the connection waits
   behind bytes that were not read.  */
static void
test_paused (void)
{
  char *upload = long_upload ();
  int end;

  for (end = 0; end < RAW_END_COUNT; end++)
    check_queued (upload, TRUE, end);
  g_free (upload);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "upload broken off between chunks", test_between_chunks },
          { "upload broken off inside a chunk", test_inside_chunk },
          { "upload of known length broken off", test_inside_length },
          { "long upload broken off", test_long },
          { "upload broken off behind the start of its answer",
            test_answer_begun },
          { "upload broken off in the queue", test_queued },
          { "paused upload broken off", test_paused },
          CU_TEST_INFO_NULL };

  return suite_run ("broken upload", tests);
}
