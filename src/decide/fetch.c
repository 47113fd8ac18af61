#include "decide/fetch.h"

#include "decide/core.h"
#include "decide/timing.h"

#include <string.h>

/* Time between calls to two peers.  */
#define FETCH_INTERVAL_USEC ((gint64)1000000)

/* Release what FETCH owns.  */
void
fetch_clear (struct fetch *fetch)
{
  if (fetch->bytes != NULL)
    g_byte_array_unref (fetch->bytes);
  memset (fetch, 0, sizeof *fetch);
}

/* Calling */

/* Return the address of the next peer to call, a seed of the settings or a
   node of the view; port 0 if there is none or it is this node.  */
static struct address
choose_peer (struct core *core)
{
  const struct core_settings *settings = &core->settings;
  const struct table *nodes = &core->view.nodes;
  struct address none = { 0, 0 };
  guint32 count = settings->seed_count + nodes->count;
  struct handle h = HANDLE_NONE;
  struct address peer;
  guint32 turn;

  if (count == 0)
    return none;
  turn = core->fetch.turn++ % count;
  if (turn < settings->seed_count)
    peer = settings->seeds[turn];
  else
    {
      for (turn -= settings->seed_count - 1; turn > 0; turn--)
        h = table_next (nodes, h);
      peer = view_node_at (&core->view, h)->join.peer;
    }
  return address_equal (peer, settings->peer) ? none : peer;
}

/* Call the chosen peer for the next page.  */
static void
call_peer (struct core *core, gint64 now, struct actions *out)
{
  struct fetch *fetch = &core->fetch;
  struct action_call *call = &actions_add (out, ACTION_CALL)->u.call;

  fetch->busy = TRUE;
  fetch->serial = ++core->call_serial;
  call->serial = fetch->serial;
  call->to = fetch->to;
  call->deadline = now + CALL_TIMEOUT_USEC;
  call->body.kind = PEER_FETCH;
  call->body.u.fetch.offset = core->view.next;
  call->body.u.fetch.snapshot = fetch->offset;
  call->body.u.fetch.position = fetch->bytes->len;
}

/* Abandon the current snapshot and call the next peer later.  */
static void
schedule_retry (struct fetch *fetch, gint64 now)
{
  fetch->busy = FALSE;
  fetch->offset = 0;
  fetch->next_at = now + FETCH_INTERVAL_USEC;
}

/* Call a peer if the log is unreachable and was never read to its end.  */
void
fetch_step (struct core *core, gint64 now, struct actions *out)
{
  struct fetch *fetch = &core->fetch;

  if (!core->log_down || core->at_tail || core->view.unread != 0 || fetch->busy
      || now < fetch->next_at)
    return;
  fetch->next_at = now + FETCH_INTERVAL_USEC;
  fetch->to = choose_peer (core);
  if (fetch->to.port == 0)
    return;
  if (fetch->bytes == NULL)
    fetch->bytes = g_byte_array_new ();
  g_byte_array_set_size (fetch->bytes, 0);
  fetch->offset = 0;
  call_peer (core, now, out);
}

/* Add a page to the snapshot.  A complete snapshot is decoded.  */
void
fetch_on_reply (struct core *core, const struct event_peer_reply *event,
                gint64 now, struct actions *out)
{
  const struct peer_fetch_reply *page = &event->body.u.fetch;
  struct fetch *fetch = &core->fetch;
  struct action_snapshot_decode *decode;

  if (!fetch->busy || event->serial != fetch->serial)
    return;
  if (event->body.code != ERR_NONE || page->length == 0
      || page->next <= core->view.next || page->position != fetch->bytes->len
      || (fetch->offset != 0 && page->next != fetch->offset))
    {
      schedule_retry (fetch, now);
      return;
    }
  fetch->offset = page->next;
  g_byte_array_append (fetch->bytes, page->bytes, page->length);
  if (fetch->bytes->len < page->total)
    {
      call_peer (core, now, out);
      return;
    }
  decode = &actions_add (out, ACTION_SNAPSHOT_DECODE)->u.snapshot_decode;
  decode->length = fetch->bytes->len;
  decode->bytes = g_memdup2 (fetch->bytes->data, fetch->bytes->len);
  g_byte_array_set_size (fetch->bytes, 0);
  schedule_retry (fetch, now);
}

/* Replying */

/* Reply with a page of this node's view if the view is later than the
   caller's, and if all records below its offset could be applied.  */
void
fetch_on_call (const struct core *core, const struct event_peer_call *event,
               struct actions *out)
{
  const struct peer_fetch *call = &event->body.u.fetch;
  struct action_serve_view *serve;
  struct action_reply *reply;

  if (core->view.unread == 0 && core->view.next > call->offset)
    {
      serve = &actions_add (out, ACTION_SERVE_VIEW)->u.serve_view;
      serve->call = event->call;
      serve->xid = event->xid;
      serve->snapshot = call->snapshot;
      serve->position = call->position;
      return;
    }
  reply = &actions_add (out, ACTION_REPLY)->u.reply;
  reply->call = event->call;
  reply->xid = event->xid;
  reply->body.kind = PEER_FETCH;
  reply->body.u.fetch.next = core->view.next;
}
