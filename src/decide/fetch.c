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
  guint32 count = settings->seed_peer_count + nodes->count;
  struct handle h = HANDLE_NONE;
  struct address peer;
  guint32 position;

  if (count == 0)
    return none;
  position = core->fetch.next_peer_index++ % count;
  if (position < settings->seed_peer_count)
    peer = settings->seed_peers[position];
  else
    {
      for (position -= settings->seed_peer_count - 1; position > 0; position--)
        h = table_next (nodes, h);
      peer = view_node_at (&core->view, h)->join.peer_address;
    }
  return address_equal (peer, settings->peer_address) ? none : peer;
}

/* Call the chosen peer for the next page.  */
static void
call_peer (struct core *core, gint64 now, struct actions *out)
{
  struct fetch *fetch = &core->fetch;
  struct action_peer_call *call
      = &actions_add (out, ACTION_PEER_CALL)->u.peer_call;

  fetch->call_pending = TRUE;
  fetch->call_serial = ++core->last_call_serial;
  call->serial = fetch->call_serial;
  call->address = fetch->address;
  call->deadline = now + CALL_TIMEOUT_USEC;
  call->body.kind = PEER_FETCH;
  call->body.u.fetch.applied_offset = core->view.applied_offset;
  call->body.u.fetch.snapshot_offset = fetch->snapshot_offset;
  call->body.u.fetch.position = fetch->bytes->len;
}

/* Abandon the current snapshot and call the next peer later.  */
static void
schedule_retry (struct fetch *fetch, gint64 now)
{
  fetch->call_pending = FALSE;
  fetch->snapshot_offset = 0;
  fetch->next_attempt_at = now + FETCH_INTERVAL_USEC;
}

/* Call a peer if the log is unreachable and was never read to its end.  */
void
fetch_step (struct core *core, gint64 now, struct actions *out)
{
  struct fetch *fetch = &core->fetch;

  if (!core->is_log_down || core->has_reached_log_end
      || core->view.unsupported_offset != 0 || fetch->call_pending
      || now < fetch->next_attempt_at)
    return;
  fetch->next_attempt_at = now + FETCH_INTERVAL_USEC;
  fetch->address = choose_peer (core);
  if (fetch->address.port == 0)
    return;
  if (fetch->bytes == NULL)
    fetch->bytes = g_byte_array_new ();
  g_byte_array_set_size (fetch->bytes, 0);
  fetch->snapshot_offset = 0;
  call_peer (core, now, out);
}

/* Add the page in the reply EVENT to the snapshot, and request the decoding of
   a complete one.  A failed or unexpected page abandons the snapshot.  */
void
fetch_on_reply (struct core *core, const struct event_peer_reply *event,
                gint64 now, struct actions *out)
{
  const struct peer_fetch_reply *page = &event->body.u.fetch;
  struct fetch *fetch = &core->fetch;
  struct action_snapshot_decode *decode;

  if (!fetch->call_pending || event->serial != fetch->call_serial)
    return;
  if (event->body.code != ERR_NONE || page->length == 0
      || page->snapshot_offset <= core->view.applied_offset
      || page->position != fetch->bytes->len
      || (fetch->snapshot_offset != 0
          && page->snapshot_offset != fetch->snapshot_offset))
    {
      schedule_retry (fetch, now);
      return;
    }
  fetch->snapshot_offset = page->snapshot_offset;
  g_byte_array_append (fetch->bytes, page->bytes, page->length);
  if (fetch->bytes->len < page->total_length)
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
  struct action_snapshot_reply *page_reply;
  struct action_peer_reply *reply;

  if (core->view.unsupported_offset == 0
      && core->view.applied_offset > call->applied_offset)
    {
      page_reply = &actions_add (out, ACTION_SNAPSHOT_REPLY)->u.snapshot_reply;
      page_reply->link = event->link;
      page_reply->xid = event->xid;
      page_reply->snapshot_offset = call->snapshot_offset;
      page_reply->position = call->position;
      return;
    }
  reply = &actions_add (out, ACTION_PEER_REPLY)->u.peer_reply;
  reply->link = event->link;
  reply->xid = event->xid;
  reply->body.kind = PEER_FETCH;
  reply->body.u.fetch.snapshot_offset = core->view.applied_offset;
}
