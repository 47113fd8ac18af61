#include "tests/http_server_stage.h"

/* The end of connections whose callers have not taken all of the last response
   yet: they get the whole of it, whatever they have sent behind their
   request.  */

#define BODY_BYTES 400000u /* more than the sockets take at once */
#define READ_BYTES 4096u   /* bytes that the caller reads at a time */
#define WINDOW_BYTES 8192  /* receive buffer of a slow caller */

/* What the caller sends besides its request.  */
enum behind
{
  BEHIND_NOTHING,
  BEHIND_REQUESTS,       /* requests, before the response */
  BEHIND_LATER_REQUESTS, /* requests, while it reads */
  BEHIND_HALF_CLOSE,     /* requests and the end of its sending half */
  BEHIND_COUNT
};

/* Connect a caller that takes little at a time.  */
static void
connect_slowly (struct server_stage *stage)
{
  struct sockaddr_in to
      = { .sin_family = AF_INET,
          .sin_port = htons (http_server_port (&stage->server)),
          .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int bytes = WINDOW_BYTES;

  close (stage->caller);
  stage->caller = socket (AF_INET, SOCK_STREAM, 0);
  setsockopt (stage->caller, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  CU_ASSERT_EQUAL_FATAL (
      connect (stage->caller, (struct sockaddr *)&to, sizeof to), 0);
}

/* Answer request 0 with a long body and a close.  */
static void
answer_long (struct server_stage *stage)
{
  struct http_response response
      = { .status = 200, .body_length = BODY_BYTES, .close = TRUE };
  struct handle request = stage->requests[0].handle;
  char *body = g_strnfill (BODY_BYTES, 'x');

  http_server_respond (&stage->server, request, &response);
  http_server_write (&stage->server, request, (const guint8 *)body,
                     BODY_BYTES);
  http_server_finish (&stage->server, request);
  g_free (body);
}

/* Run the loop and let the caller read a little.  Return FALSE once its
   connection has ended.  */
static gboolean
read_a_little (struct server_stage *stage, gint64 now)
{
  char part[READ_BYTES];
  ssize_t count;

  while (g_main_context_iteration (NULL, FALSE))
    continue;
  http_server_expire (&stage->server, now);
  count = recv (stage->caller, part, sizeof part, MSG_DONTWAIT);
  if (count > 0)
    g_string_append_len (stage->received, part, count);
  return count > 0 || (count < 0 && errno == EAGAIN);
}

/* Let the caller send what belongs to BEHIND before the response.  */
static void
send_behind (struct server_stage *stage, enum behind behind)
{
  switch (behind)
    {
    case BEHIND_REQUESTS:
    case BEHIND_HALF_CLOSE:
      raw_send (stage->caller, GET ("/x2") GET ("/x3"));
      break;
    case BEHIND_NOTHING:
    case BEHIND_LATER_REQUESTS:
    case BEHIND_COUNT:
      break;
    }
}

/* Return whether a slow caller that sends BEHIND gets the whole response.  The
   time that the server is told runs ahead of the clock, so that it passes all
   limits but that of a caller that does not read.  */
static gboolean
gets_whole_response (enum behind behind)
{
  gint64 deadline = clock_usec () + 2 * STAGE_CASE_USEC;
  gint64 now = clock_usec ();
  struct server_stage stage;
  gboolean is_whole;
  guint rounds = 0;

  stage_open (&stage);
  connect_slowly (&stage);
  raw_send (stage.caller, GET ("/x1"));
  stage_settle_reading (&stage, FALSE);
  send_behind (&stage, behind);
  stage_settle_reading (&stage, FALSE);
  answer_long (&stage);
  stage_settle_reading (&stage, FALSE);
  if (behind == BEHIND_HALF_CLOSE)
    raw_end (stage.caller, RAW_HALF_CLOSE);
  while (clock_usec () < deadline && read_a_little (&stage, now))
    {
      now += 100000;
      if (behind == BEHIND_LATER_REQUESTS && rounds++ == 10)
        raw_send (stage.caller, GET ("/x2") GET ("/x3"));
      g_usleep (500);
    }
  is_whole = stage.received->len > BODY_BYTES;
  CU_ASSERT_EQUAL (stage.count, 1);
  stage_close (&stage);
  return is_whole;
}

/* Guards against a reset that takes with it what a slow caller has not read
   yet, for each of the things that it may have sent meanwhile.  */
static void
test_slow_caller (void)
{
  int behind;

  for (behind = 0; behind < BEHIND_COUNT; behind++)
    {
      gboolean is_whole = gets_whole_response (behind);
      if (!is_whole)
        printf ("case %d\n", behind);
      CU_ASSERT_TRUE (is_whole);
    }
}

/* A caller that reads nothing does not keep its connection for long.  */
static void
test_caller_reads_nothing (void)
{
  struct server_stage stage;
  gint64 now;

  stage_open (&stage);
  connect_slowly (&stage);
  raw_send (stage.caller, GET ("/x1"));
  stage_settle_reading (&stage, FALSE);
  answer_long (&stage);
  stage_settle_reading (&stage, FALSE);
  now = clock_usec ();
  if (stage_conn (&stage) != NULL && stage_conn (&stage)->close_at != 0)
    CU_ASSERT_EQUAL (http_server_owed_count (&stage.server), 1);
  http_server_expire (&stage.server, now + (gint64)60 * G_USEC_PER_SEC);
  http_server_expire (&stage.server, now + (gint64)120 * G_USEC_PER_SEC);
  CU_ASSERT_EQUAL (http_server_owed_count (&stage.server), 0);
  stage_close (&stage);
}

/* The process ends while a caller reads: what the system has is delivered
   after that.  */
static void
test_process_ends (void)
{
  gint64 deadline = clock_usec () + STAGE_CASE_USEC;
  struct server_stage stage;

  stage_open (&stage);
  raw_send (stage.caller, GET ("/x1"));
  stage_settle_reading (&stage, FALSE);
  answer_long (&stage);
  raw_send (stage.caller, GET ("/x2"));
  while (conn_unsent (stage_conn (&stage)->conn) > 0
         && clock_usec () < deadline)
    {
      g_main_context_iteration (NULL, FALSE);
      raw_receive (stage.caller, stage.received);
    }
  http_server_clear (&stage.server);
  while (!raw_receive (stage.caller, stage.received)
         && clock_usec () < deadline)
    g_usleep (500);
  CU_ASSERT (stage.received->len > BODY_BYTES);
  stage_close (&stage);
}

/* Guards against a refusal that is lost because its caller is still sending an
   upload: it reads the refusal once it has sent all.  */
static void
test_refused_upload (void)
{
  static const char head[] = "POST /x HTTP/1.1\r\nHost: h\r\n"
                             "Content-Length: 4000000\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n";
  gint64 deadline = clock_usec () + 2 * STAGE_CASE_USEC;
  char *part = g_strnfill (10000, 'y');
  gint64 now = clock_usec ();
  struct server_stage stage;
  guint sent = 0;

  stage_open (&stage);
  raw_send (stage.caller, head);
  while (sent < 400 && clock_usec () < deadline)
    {
      ssize_t count
          = send (stage.caller, part, 10000, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (count > 0)
        sent++;
      else if (errno != EAGAIN)
        break;
      now += 20000;
      while (g_main_context_iteration (NULL, FALSE))
        continue;
      http_server_expire (&stage.server, now);
    }
  CU_ASSERT_EQUAL (sent, 400);
  stage_settle (&stage);
  CU_ASSERT_TRUE (g_str_has_prefix (stage.received->str, "HTTP/1.1 400 "));
  g_free (part);
  stage_close (&stage);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "slow caller", test_slow_caller },
          { "caller that reads nothing", test_caller_reads_nothing },
          { "the process ends", test_process_ends },
          { "refused upload", test_refused_upload },
          CU_TEST_INFO_NULL };

  return suite_run ("http_server_linger", tests);
}
