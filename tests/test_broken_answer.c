#include "tests/http_run.h"
#include "tests/raw_caller.h"

/* Responses that a server breaks off: none of them may look complete.  */

#define CHUNKED_HEAD "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
#define OPEN_HEAD "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"

/* Guards against a number that is no status, which is passed on or taken for
   an interim response.  */
static void
test_status (void)
{
  static const char *const statuses[]
      = { "000", "099", "600", "999", "1000", "20" };
  struct run run;
  guint i;

  for (i = 0; i < G_N_ELEMENTS (statuses); i++)
    {
      char *text = g_strdup_printf (
          "HTTP/1.1 %s Odd\r\nContent-Length: 2\r\n\r\nok", statuses[i]);
      const char *const parts[] = { text, NULL };
      run_case (&run, parts, RUN_KEEP, CALL_USEC);
      CU_ASSERT_EQUAL (run.code, ERR_MALFORMED);
      CU_ASSERT_EQUAL (run.heads, 0);
      g_string_free (run.body, TRUE);
      g_free (text);
    }
}

/* Guards against a response whose head is all that came, for each framing. */
static void
test_after_head (void)
{
  static const char *const heads[][2]
      = { { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", NULL },
          { CHUNKED_HEAD, NULL },
          { OPEN_HEAD, NULL } };
  struct run run;
  guint i;

  for (i = 0; i < G_N_ELEMENTS (heads); i++)
    {
      run_case (&run, heads[i], RUN_RESET, CALL_USEC);
      CU_ASSERT_NOT_EQUAL (run.code, ERR_NONE);
      CU_ASSERT_STRING_EQUAL (run.body->str, "");
      g_string_free (run.body, TRUE);
    }
}

/* End the connection as END says behind each part of LINES, which follow the
   first chunk of a body.  */
static void
check_each_byte (const char *lines, enum run_end end)
{
  struct run run;
  gsize i;

  for (i = 0; i < strlen (lines); i++)
    {
      char *text
          = g_strdup_printf (CHUNKED_HEAD "5\r\nhello%.*s", (int)i, lines);
      const char *const parts[] = { text, NULL };
      run_case (&run, parts, end, CALL_USEC);
      CU_ASSERT_NOT_EQUAL (run.code, ERR_NONE);
      g_string_free (run.body, TRUE);
      g_free (text);
    }
}

/* Guards against a part of a size line that is taken for the last chunk, or
   for the end of the body.  */
static void
test_size_line (void)
{
  check_each_byte ("\r\n10;name=value\r\n0123456789abcdef", RUN_RESET);
  check_each_byte ("\r\n10;name=value\r\n0123456789abcdef", RUN_CLOSE);
  check_each_byte ("\r\n00;last\r\nTrailer: x\r\n\r\n", RUN_RESET);
  check_each_byte ("\r\n00;last\r\nTrailer: x\r\n\r\n", RUN_CLOSE);
}

/* Uploads */

/* State of an upload.  */
struct upload
{
  struct run run;     /* what the client has reported */
  struct http http;   /* the client */
  struct handle call; /* its call */
  int server;         /* the server's connection */
};

/* Run the main loop until nothing is ready.  */
static void
iterate (void)
{
  while (g_main_context_iteration (NULL, FALSE))
    ;
}

/* Begin an upload in chunks to a server that has read its head.  */
static void
begin_upload (struct upload *upload)
{
  struct http_request request
      = { .address = { INADDR_LOOPBACK, 0 }, .method = "POST", .target = "/" };
  enum err code;
  GSocket *listener = conn_listen (request.address, &code);
  GSocketAddress *local = g_socket_get_local_address (listener, NULL);
  char part[4096];

  memset (upload, 0, sizeof *upload);
  upload->run.loop = g_main_loop_new (NULL, FALSE);
  upload->run.body = g_string_new (NULL);
  request.address.port
      = g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (local));
  request.body_length = -1;
  request.deadline = clock_usec () + CALL_USEC;
  http_init (&upload->http);
  upload->call = http_start (&upload->http, &request, on_event, &upload->run);
  http_write (&upload->http, upload->call, (const guint8 *)"one", 3);
  g_main_context_iteration (NULL, TRUE);
  iterate ();
  g_socket_set_blocking (listener, TRUE);
  upload->server = accept (g_socket_get_fd (listener), NULL, NULL);
  CU_ASSERT_TRUE (recv (upload->server, part, sizeof part, 0) > 0);
  g_object_unref (local);
  g_object_unref (listener);
}

/* End UPLOAD, whose response must not look complete.  */
static void
check_upload (struct upload *upload)
{
  gint64 end = clock_usec () + CALL_USEC;

  while (upload->run.code == ERR_NONE && clock_usec () < end
         && upload->http.calls.count > 0)
    g_main_context_iteration (NULL, FALSE);
  CU_ASSERT_EQUAL (upload->http.calls.count, 0);
  CU_ASSERT_NOT_EQUAL (upload->run.code, ERR_NONE);
  http_clear (&upload->http);
  g_string_free (upload->run.body, TRUE);
  g_main_loop_unref (upload->run.loop);
}

/* Guards against a response without length that is broken off while the upload
   is written: the write gets the error of a reset, and the read behind it sees
   an end in order.  The response is read before the END if READ_BEFORE; the
   client writes more after it if WRITES_ON.  */
static void
check_broken_off (enum raw_end end, gboolean read_before, gboolean writes_on)
{
  struct upload upload;

  begin_upload (&upload);
  raw_send (upload.server, OPEN_HEAD "a part");
  if (read_before)
    {
      iterate ();
      CU_ASSERT_EQUAL (upload.run.heads, 1);
    }
  raw_end (upload.server, end);
  if (writes_on)
    http_write (&upload.http, upload.call, (const guint8 *)"two", 3);
  check_upload (&upload);
}

/* A reset of the connection.  */
static void
test_reset (void)
{
  check_broken_off (RAW_RESET, TRUE, TRUE);
  check_broken_off (RAW_RESET, FALSE, TRUE);
  check_broken_off (RAW_RESET, TRUE, FALSE);
}

/* A close, as when the process of the server ends: the reset follows only when
   the server's system gets more of the upload.  */
static void
test_close (void)
{
  check_broken_off (RAW_CLOSE, TRUE, TRUE);
  check_broken_off (RAW_CLOSE, FALSE, TRUE);
  check_broken_off (RAW_CLOSE, TRUE, FALSE);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "no status", test_status },
                                 { "reset after the head", test_after_head },
                                 { "within a size line", test_size_line },
                                 { "reset during an upload", test_reset },
                                 { "close during an upload", test_close },
                                 CU_TEST_INFO_NULL };

  return suite_run ("broken answers", tests);
}
