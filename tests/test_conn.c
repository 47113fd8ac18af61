#include "edge/conn.h"
#include "tests/suite.h"
#include "types/clock.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* The end of connections.  */

#define LOCAL 0x7f000001u
#define CASE_USEC ((gint64)3000000) /* time limit of a test */
#define WINDOW_BYTES 4096           /* receive buffer of the other end */
#define SENT_BYTES 60000u           /* more than the other end takes in */

/* A connection whose other end is a plain socket that reads nothing.  */
struct pair
{
  struct conn *conn; /* the connection under test */
  int listener;      /* listening socket */
  int peer;          /* other end */
  guint connected;   /* CONN_CONNECTED was reported */
  guint closed;      /* CONN_CLOSED was reported */
  enum err code;     /* its code */
};

/* Record that the connection is established.  */
static void
on_event (struct conn *conn, const struct conn_event *event, gpointer data)
{
  struct pair *pair = data;

  (void)conn;
  pair->connected += event->kind == CONN_CONNECTED;
  if (event->kind != CONN_CLOSED)
    return;
  pair->closed++;
  pair->code = event->code;
}

/* Connect both ends.  */
static void
pair_init (struct pair *pair)
{
  struct sockaddr_in at
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (LOCAL) };
  socklen_t size = sizeof at;
  int window = WINDOW_BYTES;
  gint64 deadline = clock_usec () + CASE_USEC;
  struct address to = { LOCAL, 0 };

  memset (pair, 0, sizeof *pair);
  pair->listener = socket (AF_INET, SOCK_STREAM, 0);
  setsockopt (pair->listener, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
  CU_ASSERT_EQUAL_FATAL (
      bind (pair->listener, (struct sockaddr *)&at, sizeof at), 0);
  CU_ASSERT_EQUAL_FATAL (listen (pair->listener, 1), 0);
  getsockname (pair->listener, (struct sockaddr *)&at, &size);
  to.port = ntohs (at.sin_port);
  pair->conn = conn_open (to, on_event, pair);
  while (!pair->connected && clock_usec () < deadline)
    g_main_context_iteration (NULL, FALSE);
  pair->peer = accept (pair->listener, NULL, NULL);
  CU_ASSERT_TRUE_FATAL (pair->peer >= 0);
}

/* Read all that arrives at the other end, and close it.  Return how the stream
   ended: 0, or an errno.  */
static int
read_to_end (struct pair *pair)
{
  char bytes[WINDOW_BYTES];
  ssize_t count;
  int end;

  do
    count = recv (pair->peer, bytes, sizeof bytes, 0);
  while (count > 0);
  end = count < 0 ? errno : 0;
  close (pair->peer);
  close (pair->listener);
  return end;
}

/* Queue more bytes than the other end takes in.  */
static void
send_much (struct pair *pair)
{
  static guint8 bytes[SENT_BYTES];

  conn_send (pair->conn, bytes, sizeof bytes);
}

/* What was not delivered when a connection is aborted is not delivered
   later.  */
static void
test_aborted (void)
{
  struct pair pair;

  pair_init (&pair);
  send_much (&pair);
  conn_abort (pair.conn);
  CU_ASSERT_EQUAL (read_to_end (&pair), ECONNRESET);
}

/* An aborted connection without undelivered bytes ends in order, so that the
   end is not lost with one packet.  */
static void
test_aborted_idle (void)
{
  struct pair pair;

  pair_init (&pair);
  conn_abort (pair.conn);
  CU_ASSERT_EQUAL (read_to_end (&pair), 0);
}

/* A send that fails is not the end of the stream: a response whose body ends
   with its connection is not complete then.  */
static void
test_failed_send (void)
{
  struct linger drop = { .l_onoff = 1, .l_linger = 0 };
  gint64 deadline = clock_usec () + CASE_USEC;
  struct pair pair;

  pair_init (&pair);
  while (conn_unsent (pair.conn) == 0)
    send_much (&pair);
  setsockopt (pair.peer, SOL_SOCKET, SO_LINGER, &drop, sizeof drop);
  close (pair.peer);
  close (pair.listener);
  while (pair.closed == 0 && clock_usec () < deadline)
    g_main_context_iteration (NULL, FALSE);
  CU_ASSERT_EQUAL (pair.closed, 1);
  CU_ASSERT_EQUAL (pair.code, ERR_IO);
  conn_close (pair.conn);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "bytes are delivered after an abort", test_aborted },
          { "abort of an idle connection", test_aborted_idle },
          { "failed send is an end in order", test_failed_send },
          CU_TEST_INFO_NULL };

  return suite_run ("conn", tests);
}
