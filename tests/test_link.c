#include "edge/link.h"
#include "types/clock.h"
#include "tests/suite.h"
#include "wire/wire_forward.h"

#include <string.h>

/* Calls between two sets of links in one process.  */

#define CALL_USEC ((gint64)2000000) /* timeout of a call */

/* Replies that the calling side received.  */
struct replies
{
  GMainLoop *loop;    /* runs until all expected replies have arrived */
  guint expected;     /* replies to wait for */
  guint64 serials[4]; /* serials of the tags, in the order of the replies */
  enum err codes[4];  /* results, in the order of the replies */
  guint count;        /* replies so far */
};

/* The called side: replies to RPC_CANCEL only after the following RPC_NULL,
   and never to RPC_READ_RESPONSE.  */
static void
on_server (const struct link_event *event, gpointer data)
{
  struct links *links = data;
  static guint32 deferred_xid;
  static struct handle deferred_link;

  if (event->kind != LINK_CALL)
    return;
  switch (event->procedure)
    {
    case RPC_CANCEL:
      deferred_xid = event->xid;
      deferred_link = event->link;
      break;
    case RPC_NULL:
      links_reply (links, event->link, event->xid, ERR_NONE, NULL, NULL);
      if (deferred_xid != 0)
        links_reply (links, deferred_link, deferred_xid, ERR_NONE, NULL, NULL);
      deferred_xid = 0;
      break;
    case RPC_FORWARD_CHUNK:
      links_reply (links, event->link, event->xid, ERR_MALFORMED, NULL, NULL);
      break;
    default:
      break;
    }
}

/* The calling side: stores the replies, and ends the loop with the last
   expected one.  */
static void
on_client (const struct link_event *event, gpointer data)
{
  struct replies *replies = data;

  if (event->kind != LINK_REPLY)
    return;
  replies->serials[replies->count] = event->tag.serial;
  replies->codes[replies->count] = event->code;
  replies->count++;
  if (replies->count == replies->expected)
    g_main_loop_quit (replies->loop);
}

/* Two sets of links, one of which calls the other.  */
struct pair
{
  struct links server;    /* called side */
  struct links client;    /* calling side */
  struct address at;      /* where the server listens */
  struct replies replies; /* results of the calls */
};

/* Expire the calls whose deadline has passed.  */
static gboolean
on_timer (gpointer data)
{
  links_expire (data, clock_usec ());
  return G_SOURCE_CONTINUE;
}

/* Initialize both sides.  */
static void
pair_init (struct pair *pair)
{
  struct address any = { 0x7f000001, 0 };
  GSocketAddress *local;

  memset (pair, 0, sizeof *pair);
  pair->replies.loop = g_main_loop_new (NULL, FALSE);
  links_init (&pair->server, any, on_server, &pair->server);
  links_init (&pair->client, any, on_client, &pair->replies);
  local = g_socket_get_local_address (pair->server.listener, NULL);
  pair->at = any;
  pair->at.port
      = g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (local));
  g_object_unref (local);
}

/* Call PROCEDURE with the tag SERIAL and a deadline TIMEOUT_USEC from
   now.  */
static void
pair_call (struct pair *pair, enum rpc_procedure procedure, guint64 serial,
           gint64 timeout_usec)
{
  struct link_tag tag = { .serial = serial };
  guint64 stream = serial;

  links_call (&pair->client, pair->at, procedure, wire_forward_stream, &stream,
              &tag, clock_usec () + timeout_usec);
}

/* Wait until EXPECTED replies have arrived in total, and release PAIR.  */
static void
pair_finish (struct pair *pair, guint expected)
{
  guint timer = g_timeout_add (10, on_timer, &pair->client);

  pair->replies.expected = expected;
  if (pair->replies.count < expected)
    g_main_loop_run (pair->replies.loop);
  g_source_remove (timer);
  links_clear (&pair->client);
  links_clear (&pair->server);
  g_main_loop_unref (pair->replies.loop);
}

/* Replies that arrive in another order than the calls were made are matched to
   their calls.  */
static void
test_out_of_order (void)
{
  struct pair pair;

  pair_init (&pair);
  pair_call (&pair, RPC_CANCEL, 1, CALL_USEC);
  pair_call (&pair, RPC_NULL, 2, CALL_USEC);
  pair_call (&pair, RPC_FORWARD_CHUNK, 3, CALL_USEC);
  pair_finish (&pair, 3);
  CU_ASSERT_EQUAL (pair.replies.serials[0], 2);
  CU_ASSERT_EQUAL (pair.replies.serials[1], 1);
  CU_ASSERT_EQUAL (pair.replies.codes[1], ERR_NONE);
  CU_ASSERT_EQUAL (pair.replies.serials[2], 3);
  CU_ASSERT_EQUAL (pair.replies.codes[2], ERR_MALFORMED);
}

/* A call that is not answered fails with ERR_TIMEOUT at its deadline.  */
static void
test_unanswered_call (void)
{
  struct pair pair;

  pair_init (&pair);
  pair_call (&pair, RPC_READ_RESPONSE, 4, 30000);
  pair_finish (&pair, 1);
  CU_ASSERT_EQUAL (pair.replies.codes[0], ERR_TIMEOUT);
}

/* A call to an address without a listener fails with ERR_REFUSED: nothing was
   sent.  */
static void
test_refused (void)
{
  struct pair pair;

  pair_init (&pair);
  pair.at.port = 1;
  pair_call (&pair, RPC_NULL, 5, CALL_USEC);
  pair_finish (&pair, 1);
  CU_ASSERT_EQUAL (pair.replies.codes[0], ERR_REFUSED);
}

/* A malformed message closes the connection.  */
static void
test_malformed_message (void)
{
  static const guint8 bytes[] = { 0x80, 0, 0, 8, 1, 2, 3, 4, 0, 0, 0, 9 };
  struct pair pair;
  struct handle h;
  struct link *link;

  pair_init (&pair);
  pair_call (&pair, RPC_READ_RESPONSE, 6, CALL_USEC);
  h = table_next (&pair.client.link_table, HANDLE_NONE);
  link = table_get (&pair.client.link_table, h);
  conn_send (link->conn, bytes, sizeof bytes);
  pair_finish (&pair, 1);
  CU_ASSERT_EQUAL (pair.replies.codes[0], ERR_CLOSED);
}

/* Guards against losing calls when a connection is retired whose peer is only
   slow: new calls use another connection, pending ones are still answered, and
   the retired connection is closed after the last of them.  */
static void
test_slow_connection_loses_calls (void)
{
  struct pair pair;

  pair_init (&pair);
  pair_call (&pair, RPC_CANCEL, 1, CALL_USEC);
  links_retire (&pair.client, pair.at, clock_usec ());
  pair_call (&pair, RPC_NULL, 2, CALL_USEC);
  CU_ASSERT_EQUAL (pair.client.link_table.count, 2);
  pair.replies.expected = 2;
  g_main_loop_run (pair.replies.loop);
  CU_ASSERT_EQUAL (pair.replies.codes[0], ERR_NONE);
  CU_ASSERT_EQUAL (pair.replies.codes[1], ERR_NONE);
  links_expire (&pair.client, clock_usec ());
  CU_ASSERT_EQUAL (pair.client.link_table.count, 1);
  pair_finish (&pair, 2);
}

/* A retired connection on which nothing arrives is closed before the deadline
   of its pending calls.  */
static void
test_dead_connection_is_closed (void)
{
  struct pair pair;
  gint64 now = clock_usec ();

  pair_init (&pair);
  pair_call (&pair, RPC_READ_RESPONSE, 3, 10 * CALL_USEC);
  links_retire (&pair.client, pair.at, now);
  links_expire (&pair.client, now + CALL_USEC / 4);
  CU_ASSERT_EQUAL (pair.replies.count, 0);
  links_expire (&pair.client, now + CALL_USEC);
  CU_ASSERT_EQUAL (pair.replies.count, 1);
  CU_ASSERT_EQUAL (pair.replies.codes[0], ERR_CLOSED);
  CU_ASSERT_EQUAL (pair.client.link_table.count, 0);
  pair_finish (&pair, 1);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "out of order", test_out_of_order },
          { "unanswered call", test_unanswered_call },
          { "refused", test_refused },
          { "malformed message", test_malformed_message },
          { "slow connection loses calls", test_slow_connection_loses_calls },
          { "dead connection is closed", test_dead_connection_is_closed },
          CU_TEST_INFO_NULL };

  return suite_run ("link", tests);
}
