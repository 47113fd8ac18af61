#include "edge/link.h"
#include "types/clock.h"
#include "tests/suite.h"
#include "wire/wire_forward.h"

#include <string.h>

/* Calls between two ends in one process.  */

#define CALL_USEC ((gint64)2000000) /* a call may take so long */

/* What the calling end was told.  */
struct told
{
  GMainLoop *loop;    /* runs until all replies have come */
  guint wanted;       /* replies to wait for */
  guint64 serials[4]; /* tags in the order of the replies */
  enum err codes[4];  /* how the calls ended */
  guint count;        /* replies so far */
};

/* The called end: it answers a cancel later than what comes after it, and a
   read never.  */
static void
on_server (const struct link_event *event, gpointer data)
{
  struct links *links = data;
  static guint32 held;
  static struct handle held_on;

  if (event->kind != LINK_CALL)
    return;
  switch (event->procedure)
    {
    case RPC_CANCEL:
      held = event->xid;
      held_on = event->link;
      break;
    case RPC_NULL:
      links_reply (links, event->link, event->xid, ERR_NONE, NULL, NULL);
      if (held != 0)
        links_reply (links, held_on, held, ERR_NONE, NULL, NULL);
      held = 0;
      break;
    case RPC_FORWARD_CHUNK:
      links_reply (links, event->link, event->xid, ERR_MALFORMED, NULL, NULL);
      break;
    default:
      break;
    }
}

/* The calling end.  */
static void
on_client (const struct link_event *event, gpointer data)
{
  struct told *told = data;

  if (event->kind != LINK_REPLY)
    return;
  told->serials[told->count] = event->tag.serial;
  told->codes[told->count] = event->code;
  told->count++;
  if (told->count == told->wanted)
    g_main_loop_quit (told->loop);
}

/* Two ends, and calls between them.  */
struct pair
{
  struct links server; /* called */
  struct links client; /* calls */
  struct address at;   /* where the server listens */
  struct told told;    /* what came of the calls */
};

/* Give up the calls whose deadline has passed.  */
static gboolean
on_timer (gpointer data)
{
  links_expire (data, clock_usec ());
  return G_SOURCE_CONTINUE;
}

/* Set the two ends up.  */
static void
pair_init (struct pair *pair)
{
  struct address any = { 0x7f000001, 0 };
  GSocketAddress *local;

  memset (pair, 0, sizeof *pair);
  pair->told.loop = g_main_loop_new (NULL, FALSE);
  links_init (&pair->server, any, on_server, &pair->server);
  links_init (&pair->client, any, on_client, &pair->told);
  local = g_socket_get_local_address (pair->server.listener, NULL);
  pair->at = any;
  pair->at.port
      = g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (local));
  g_object_unref (local);
}

/* Call PROCEDURE with the tag SERIAL.  */
static void
pair_call (struct pair *pair, enum rpc_procedure procedure, guint64 serial,
           gint64 usec)
{
  struct link_tag tag = { .serial = serial };
  guint64 stream = serial;

  links_call (&pair->client, pair->at, procedure, wire_forward_stream, &stream,
              &tag, clock_usec () + usec);
}

/* Wait for WANTED replies and clear up.  */
static void
pair_finish (struct pair *pair, guint wanted)
{
  guint timer = g_timeout_add (10, on_timer, &pair->client);

  pair->told.wanted = wanted;
  if (pair->told.count < wanted)
    g_main_loop_run (pair->told.loop);
  g_source_remove (timer);
  links_clear (&pair->client);
  links_clear (&pair->server);
  g_main_loop_unref (pair->told.loop);
}

/* Replies in another order than the calls reach whose they are.  */
static void
test_out_of_order (void)
{
  struct pair pair;

  pair_init (&pair);
  pair_call (&pair, RPC_CANCEL, 1, CALL_USEC);
  pair_call (&pair, RPC_NULL, 2, CALL_USEC);
  pair_call (&pair, RPC_FORWARD_CHUNK, 3, CALL_USEC);
  pair_finish (&pair, 3);
  CU_ASSERT_EQUAL (pair.told.serials[0], 2);
  CU_ASSERT_EQUAL (pair.told.serials[1], 1);
  CU_ASSERT_EQUAL (pair.told.codes[1], ERR_NONE);
  CU_ASSERT_EQUAL (pair.told.serials[2], 3);
  CU_ASSERT_EQUAL (pair.told.codes[2], ERR_MALFORMED);
}

/* A call that is not answered ends at its deadline.  */
static void
test_silence (void)
{
  struct pair pair;

  pair_init (&pair);
  pair_call (&pair, RPC_READ_RESPONSE, 4, 30000);
  pair_finish (&pair, 1);
  CU_ASSERT_EQUAL (pair.told.codes[0], ERR_TIMEOUT);
}

/* Nobody listens: nothing was sent.  */
static void
test_refused (void)
{
  struct pair pair;

  pair_init (&pair);
  pair.at.port = 1;
  pair_call (&pair, RPC_NULL, 5, CALL_USEC);
  pair_finish (&pair, 1);
  CU_ASSERT_EQUAL (pair.told.codes[0], ERR_REFUSED);
}

/* Bytes that are no message close the connection.  */
static void
test_garbage (void)
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
  CU_ASSERT_EQUAL (pair.told.codes[0], ERR_CLOSED);
}

/* A connection that is replaced while its peer is slow loses no call: new ones
   go elsewhere, and it ends with the last one under way.  */
static void
test_slow_connection_loses_calls (void)
{
  struct pair pair;

  pair_init (&pair);
  pair_call (&pair, RPC_CANCEL, 1, CALL_USEC);
  links_retire (&pair.client, pair.at, clock_usec ());
  pair_call (&pair, RPC_NULL, 2, CALL_USEC);
  CU_ASSERT_EQUAL (pair.client.link_table.count, 2);
  pair.told.wanted = 2;
  g_main_loop_run (pair.told.loop);
  CU_ASSERT_EQUAL (pair.told.codes[0], ERR_NONE);
  CU_ASSERT_EQUAL (pair.told.codes[1], ERR_NONE);
  links_expire (&pair.client, clock_usec ());
  CU_ASSERT_EQUAL (pair.client.link_table.count, 1);
  pair_finish (&pair, 2);
}

/* One that shows no sign of life is given up before the deadline of its
   calls.  */
static void
test_dead_connection_is_given_up (void)
{
  struct pair pair;
  gint64 now = clock_usec ();

  pair_init (&pair);
  pair_call (&pair, RPC_READ_RESPONSE, 3, 10 * CALL_USEC);
  links_retire (&pair.client, pair.at, now);
  links_expire (&pair.client, now + CALL_USEC / 4);
  CU_ASSERT_EQUAL (pair.told.count, 0);
  links_expire (&pair.client, now + CALL_USEC);
  CU_ASSERT_EQUAL (pair.told.count, 1);
  CU_ASSERT_EQUAL (pair.told.codes[0], ERR_CLOSED);
  CU_ASSERT_EQUAL (pair.client.link_table.count, 0);
  pair_finish (&pair, 1);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "out of order", test_out_of_order },
          { "silence", test_silence },
          { "refused", test_refused },
          { "garbage", test_garbage },
          { "slow connection loses calls", test_slow_connection_loses_calls },
          { "dead connection is given up", test_dead_connection_is_given_up },
          CU_TEST_INFO_NULL };

  return suite_run ("link", tests);
}
