#include "edge/node.h"

#include "decide/timing.h"
#include "edge/journal.h"
#include "wire/wire_peer.h"

#include <string.h>

/* Events */

/* Take in one event and do what the core wants.  */
static void
feed_one (struct node *node, const struct event *event)
{
  struct actions actions;
  guint i;

  actions_init (&actions);
  core_step (&node->core, event, g_get_monotonic_time (), &actions);
  for (i = 0; i < actions.items->len; i++)
    node_do (node, actions_at (&actions, i));
  actions_clear (&actions);
}

/* Give EVENT to the core.  An event that comes while another is taken in
   waits for it; such events point at nothing.  */
void
node_feed (struct node *node, const struct event *event)
{
  struct event *later;

  if (node->feeding)
    {
      g_queue_push_tail (node->later,
                         g_memdup2 (event, sizeof (struct event)));
      return;
    }
  node->feeding = TRUE;
  feed_one (node, event);
  for (later = g_queue_pop_head (node->later); later != NULL;
       later = g_queue_pop_head (node->later))
    {
      feed_one (node, later);
      g_free (later);
    }
  node->feeding = FALSE;
}

/* The log says something.  */
static void
on_log_event (const struct event *event, gpointer data)
{
  struct node *node = data;

  if (event->kind == EVENT_RECORDS)
    node->counters.records += event->u.records.count;
  if (event->kind == EVENT_RECORDS)
    tail_store_add (&node->tail, node->log.body->data, node->log.body->len);
  node_feed (node, event);
  log_client_step (&node->log, g_get_monotonic_time ());
}

/* The timer.  */
static gboolean
on_tick (gpointer data)
{
  struct node *node = data;
  struct event event = { .kind = EVENT_TICK };
  gint64 now = g_get_monotonic_time ();

  http_expire (&node->http, now);
  links_expire (&node->links, now);
  log_client_step (&node->log, now);
  server_poll_step (node, now);
  source_tail_step (node, now);
  event.u.tick.exchanges = node->exchanges.count + links_unsent (&node->links);
  node_feed (node, &event);
  return G_SOURCE_CONTINUE;
}

/* Other nodes */

/* A control call came.  */
static void
take_peer_call (struct node *node, const struct link_event *link_event)
{
  struct event event = { .kind = EVENT_PEER_CALL };
  struct peer_call *body = &event.u.peer_call.body;

  if (wire_decode (wire_peer_call, body, link_event->bytes, link_event->length)
      != ERR_NONE)
    {
      links_reply (&node->links, link_event->link, link_event->xid,
                   ERR_MALFORMED, NULL, NULL);
      return;
    }
  event.u.peer_call.call = link_event->link;
  event.u.peer_call.xid = link_event->xid;
  node_feed (node, &event);
}

/* A control call was answered, or will not be.  */
static void
take_peer_reply (struct node *node, const struct link_event *link_event)
{
  struct event event = { .kind = EVENT_PEER_REPLY };
  struct peer_reply *body = &event.u.peer_reply.body;

  event.u.peer_reply.serial = link_event->tag.serial;
  event.u.peer_reply.peer = link_event->tag.peer;
  body->code = link_event->code;
  if (link_event->code == ERR_NONE
      && wire_decode (wire_peer_reply, body, link_event->bytes,
                      link_event->length)
             != ERR_NONE)
    {
      memset (body, 0, sizeof *body);
      body->code = ERR_MALFORMED;
    }
  node_feed (node, &event);
  if (body->kind == PEER_FETCH)
    g_free (body->u.fetch.bytes);
}

/* A peer calls.  */
static void
take_call (struct node *node, const struct link_event *event)
{
  switch (event->procedure)
    {
    case RPC_NULL:
      links_reply (&node->links, event->link, event->xid, ERR_NONE, NULL,
                   NULL);
      break;
    case RPC_PEER:
      take_peer_call (node, event);
      break;
    case RPC_OPEN:
      source_peer_open (node, event);
      break;
    case RPC_DATA:
      source_peer_data (node, event);
      break;
    case RPC_READ:
      source_peer_read (node, event);
      break;
    case RPC_TAIL:
      source_tail_call (node, event);
      break;
    case RPC_CANCEL:
      source_peer_cancel (node, event);
      break;
    default:
      links_reply (&node->links, event->link, event->xid, ERR_MALFORMED, NULL,
                   NULL);
      break;
    }
}

/* Something came from another node.  */
static void
on_link_event (const struct link_event *event, gpointer data)
{
  struct node *node = data;

  switch (event->kind)
    {
    case LINK_CALL:
      take_call (node, event);
      break;
    case LINK_REPLY:
      if (event->procedure == RPC_PEER)
        take_peer_reply (node, event);
      else if (event->procedure == RPC_TAIL)
        source_tail_reply (node, event);
      else
        exchange_reply (node, event);
      break;
    case LINK_CLOSED:
      source_peer_closed (node, event->link);
      break;
    }
}

/* Life */

/* Hash a stream's name.  */
static guint
stream_hash (gconstpointer data)
{
  const struct stream_key *key = data;

  return g_int64_hash (&key->stream) ^ key->link;
}

/* Compare two streams' names.  */
static gboolean
stream_equal (gconstpointer a, gconstpointer b)
{
  const struct stream_key *left = a;
  const struct stream_key *right = b;

  return left->link == right->link && left->stream == right->stream;
}

/* Start a node: it listens and begins to read the log.  */
enum err
node_init (struct node *node, const struct settings *settings)
{
  enum err code;

  memset (node, 0, sizeof *node);
  node->settings = *settings;
  node->later = g_queue_new ();
  node->loop = g_main_loop_new (NULL, FALSE);
  core_init (&node->core, &settings->core);
  table_init (&node->exchanges, sizeof (struct exchange));
  node->streams
      = g_hash_table_new_full (stream_hash, stream_equal, g_free, NULL);
  node->server_calls = g_hash_table_new (NULL, NULL);
  tail_store_init (&node->tail);
  http_init (&node->http);
  log_client_init (&node->log, &node->http, settings->log,
                   settings->log_stream, on_log_event, node);
  code = links_init (&node->links, settings->core.peer, on_link_event, node);
  if (code == ERR_NONE)
    code = front_init (node);
  if (code != ERR_NONE)
    return code;
  node->tick = g_timeout_add (TICK_USEC / USEC_PER_MSEC, on_tick, node);
  log_client_step (&node->log, g_get_monotonic_time ());
  return ERR_NONE;
}

/* Stop a node at once and release what it holds.  */
void
node_clear (struct node *node)
{
  struct handle h = table_next (&node->exchanges, HANDLE_NONE);

  node->feeding = TRUE;
  if (node->tick != 0)
    g_source_remove (node->tick);
  for (; handle_is_set (h); h = table_next (&node->exchanges, h))
    exchange_remove (exchange_at (node, h));
  front_clear (node);
  log_client_clear (&node->log);
  links_clear (&node->links);
  http_clear (&node->http);
  table_clear (&node->exchanges);
  g_hash_table_destroy (node->streams);
  g_hash_table_destroy (node->server_calls);
  core_clear (&node->core);
  tail_store_clear (&node->tail);
  if (node->served != NULL)
    g_byte_array_unref (node->served);
  if (node->snapshot != NULL)
    g_byte_array_unref (node->snapshot);
  g_queue_free_full (node->later, g_free);
  g_main_loop_unref (node->loop);
}
