#include "decide/fetch.h"

#include "decide/core.h"
#include "decide/timing.h"

#include <string.h>

#define FETCH_EVERY_USEC ((gint64)1000000) /* between two peers asked */

/* Release the pages that were fetched.  */
void
fetch_clear (struct fetch *fetch)
{
  if (fetch->bytes != NULL)
    g_byte_array_unref (fetch->bytes);
  memset (fetch, 0, sizeof *fetch);
}

/* Asking */

/* The peer whose turn it is: a seed of the settings, or a node of the view;
   port 0 if there is none or it is this node.  */
static struct address
choose_peer (struct core *core)
{
  const struct core_settings *settings = &core->settings;
  const struct table *nodes = &core->view.nodes;
  struct address none = { 0, 0 };
  guint32 count = settings->seed_peer_count + nodes->count;
  struct handle h = HANDLE_NONE;
  struct address peer;
  guint32 turn;

  if (count == 0)
    return none;
  turn = core->fetch.next_peer_index++ % count;
  if (turn < settings->seed_peer_count)
    peer = settings->seed_peers[turn];
  else
    {
      for (turn -= settings->seed_peer_count - 1; turn > 0; turn--)
        h = table_next (nodes, h);
      peer = view_node_at (&core->view, h)->join.peer_address;
    }
  return address_equal (peer, settings->peer_address) ? none : peer;
}

/* Ask the chosen peer for the page that is next.  */
static void
ask (struct core *core, gint64 now, struct actions *out)
{
  struct fetch *fetch = &core->fetch;
  struct action_peer_call *call = &actions_add (out, ACTION_PEER_CALL)->u.call;

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

/* Begin with the next peer later on.  */
static void
give_up (struct fetch *fetch, gint64 now)
{
  fetch->call_pending = FALSE;
  fetch->snapshot_offset = 0;
  fetch->next_attempt_at = now + FETCH_EVERY_USEC;
}

/* Ask a peer if the log is down and this node has not come to its tail.  */
void
fetch_step (struct core *core, gint64 now, struct actions *out)
{
  struct fetch *fetch = &core->fetch;

  if (!core->is_log_down || core->has_reached_log_end
      || core->view.unsupported_offset != 0 || fetch->call_pending
      || now < fetch->next_attempt_at)
    return;
  fetch->next_attempt_at = now + FETCH_EVERY_USEC;
  fetch->address = choose_peer (core);
  if (fetch->address.port == 0)
    return;
  if (fetch->bytes == NULL)
    fetch->bytes = g_byte_array_new ();
  g_byte_array_set_size (fetch->bytes, 0);
  fetch->snapshot_offset = 0;
  ask (core, now, out);
}

/* Take in a page; once the snapshot is whole it is decoded.  */
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
      give_up (fetch, now);
      return;
    }
  fetch->snapshot_offset = page->snapshot_offset;
  g_byte_array_append (fetch->bytes, page->bytes, page->length);
  if (fetch->bytes->len < page->total_length)
    {
      ask (core, now, out);
      return;
    }
  decode = &actions_add (out, ACTION_SNAPSHOT_DECODE)->u.snapshot_decode;
  decode->length = fetch->bytes->len;
  decode->bytes = g_memdup2 (fetch->bytes->data, fetch->bytes->len);
  g_byte_array_set_size (fetch->bytes, 0);
  give_up (fetch, now);
}

/* Answering */

/* Answer a fetch with a page of this node's view, if it is later than what
   the other has and holds all that the log says.  */
void
fetch_on_call (const struct core *core, const struct event_peer_call *event,
               struct actions *out)
{
  const struct peer_fetch *call = &event->body.u.fetch;
  struct action_snapshot_reply *serve;
  struct action_peer_reply *reply;

  if (core->view.unsupported_offset == 0
      && core->view.applied_offset > call->applied_offset)
    {
      serve = &actions_add (out, ACTION_SNAPSHOT_REPLY)->u.snapshot_reply;
      serve->link = event->link;
      serve->xid = event->xid;
      serve->snapshot_offset = call->snapshot_offset;
      serve->position = call->position;
      return;
    }
  reply = &actions_add (out, ACTION_PEER_REPLY)->u.reply;
  reply->link = event->link;
  reply->xid = event->xid;
  reply->body.kind = PEER_FETCH;
  reply->body.u.fetch.snapshot_offset = core->view.applied_offset;
}
