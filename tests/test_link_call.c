#include "edge/link.h"
#include "tests/suite.h"
#include "types/clock.h"
#include "wire/wire_forward.h"

#include <string.h>

/* Calls whose replies are not read.  */

#define CALL_USEC ((gint64)2000000) /* timeout of a call */
#define PART_BYTES 65536u           /* bytes in a reply */
#define UNREAD_CALLS 1000u          /* calls whose replies are not read */
#define UNREAD_BYTES_MAX 16777216u  /* bytes of replies that may be queued */

/* A called side that answers with PART_BYTES and counts the calls.  */
struct answering
{
  struct links links; /* its connections */
  guint calls;        /* calls that were read */
};

/* Answer a call.  */
static void
on_answering (const struct link_event *event, gpointer data)
{
  static guint8 part[PART_BYTES];
  struct answering *answering = data;
  struct forward_response_chunk chunk
      = { .outcome = OUTCOME_DONE, .chunk_length = PART_BYTES, .chunk = part };

  if (event->kind != LINK_CALL)
    return;
  answering->calls++;
  links_reply (&answering->links, event->link, event->xid, ERR_NONE,
               wire_forward_response_chunk, &chunk);
}

/* Return the bytes that ANSWERING has queued.  */
static gsize
queued_bytes (const struct answering *answering)
{
  struct handle h = table_next (&answering->links.link_table, HANDLE_NONE);
  const struct link *link = table_get (&answering->links.link_table, h);

  return link != NULL ? conn_unsent (link->conn) : 0;
}

/* Ignore the replies.  */
static void
on_ignored (const struct link_event *event, gpointer data)
{
  (void)event;
  (void)data;
}

/* Call the side at AT UNREAD_CALLS times on one connection of CLIENT, and read
   no reply.  Return the connection.  */
static struct link *
call_without_reading (struct links *client, struct address at)
{
  struct link_tag tag = { 0 };
  guint64 stream = 0;
  gint64 deadline = clock_usec () + 60 * CALL_USEC;
  struct handle h = links_call (client, at, RPC_READ_RESPONSE,
                                wire_forward_stream, &stream, &tag, deadline);
  struct link *link = table_get (&client->link_table, h);
  guint i;

  while (!link->conn->connected)
    g_main_context_iteration (NULL, TRUE);
  conn_pause (link->conn, TRUE);
  for (i = 1; i < UNREAD_CALLS; i++)
    links_call_on (client, h, RPC_READ_RESPONSE, wire_forward_stream, &stream,
                   &tag, deadline);
  return link;
}

/* Guards against calls without end that fill the memory with replies: a peer
   that reads none is not read from either, and all calls are answered once it
   reads again.  */
static void
test_unread_replies (void)
{
  struct answering answering = { .calls = 0 };
  struct address at = { 0x7f000001, 0 };
  struct links client;
  struct link *link;
  GSocketAddress *local;
  gsize most_queued = 0;
  gint64 deadline;

  links_init (&client, at, on_ignored, NULL);
  links_init (&answering.links, at, on_answering, &answering);
  local = g_socket_get_local_address (answering.links.listener, NULL);
  at.port = g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (local));
  g_object_unref (local);
  link = call_without_reading (&client, at);
  deadline = clock_usec () + CALL_USEC;
  while (clock_usec () < deadline && answering.calls < UNREAD_CALLS)
    {
      g_main_context_iteration (NULL, FALSE);
      most_queued = MAX (most_queued, queued_bytes (&answering));
    }
  CU_ASSERT_TRUE (most_queued <= UNREAD_BYTES_MAX);
  CU_ASSERT_TRUE (answering.calls < UNREAD_CALLS);
  conn_pause (link->conn, FALSE);
  deadline = clock_usec () + 10 * CALL_USEC;
  while (clock_usec () < deadline
         && g_hash_table_size (link->pending_calls) > 0)
    g_main_context_iteration (NULL, FALSE);
  CU_ASSERT_EQUAL (answering.calls, UNREAD_CALLS);
  CU_ASSERT_EQUAL (g_hash_table_size (link->pending_calls), 0);
  links_clear (&client);
  links_clear (&answering.links);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "replies that are not read", test_unread_replies },
          CU_TEST_INFO_NULL };

  return suite_run ("link call", tests);
}
