#include "edge/node.h"
#include "wire/wire_peer.h"
#include "wire/wire_view.h"

/* Bytes of a snapshot in one reply.  */
#define PAGE_BYTES (FETCH_BYTES_MAX / 4)

#include <string.h>

/* Encode this node's view as a snapshot and pass the bytes to the core.  The
   bytes stay valid until the next call.  */
void
node_encode_snapshot (struct node *node)
{
  struct event event = { .kind = EVENT_SNAPSHOT_ENCODED };

  if (node->snapshot != NULL)
    g_byte_array_unref (node->snapshot);
  node->snapshot = view_encode (&node->core.view);
  event.u.snapshot_encoded.snapshot_offset = node->core.view.applied_offset;
  if (node->snapshot != NULL)
    {
      event.u.snapshot_encoded.bytes = node->snapshot->data;
      event.u.snapshot_encoded.length = node->snapshot->len;
    }
  node_handle_event (node, &event);
}

/* Decode the snapshot in BYTES and pass the view to the core, or none if the
   snapshot is malformed.  */
void
node_decode_snapshot (struct node *node, const guint8 *bytes, guint32 length)
{
  struct event event = { .kind = EVENT_SNAPSHOT_DECODED };

  if (view_decode (&node->decoded_view, bytes, length) == ERR_NONE)
    event.u.snapshot_decoded.view = &node->decoded_view;
  else
    view_clear (&node->decoded_view);
  node_handle_event (node, &event);
}

/* Encode the view for peers, unless the last one encoded is of the same
   offset.  */
static void
encode_for_peer (struct node *node)
{
  const struct view *view = &node->core.view;

  if (node->peer_snapshot != NULL
      && node->peer_snapshot_offset == view->applied_offset)
    return;
  if (node->peer_snapshot != NULL)
    g_byte_array_unref (node->peer_snapshot);
  node->peer_snapshot = view_encode (view);
  node->peer_snapshot_offset = view->applied_offset;
}

/* Reply to a peer's fetch with one page of a snapshot.  A request for the
   first page encodes the current view.  A request for a later page of an
   outdated snapshot gets an empty page, and the peer starts over.  */
void
node_reply_snapshot (struct node *node,
                     const struct action_snapshot_reply *action)
{
  struct peer_reply reply = { .kind = PEER_FETCH };
  struct peer_fetch_reply *page = &reply.u.fetch;

  if (action->position == 0)
    encode_for_peer (node);
  if (node->peer_snapshot != NULL
      && action->position < node->peer_snapshot->len
      && (action->snapshot_offset == 0
          || action->snapshot_offset == node->peer_snapshot_offset))
    {
      page->snapshot_offset = node->peer_snapshot_offset;
      page->position = action->position;
      page->total_length = node->peer_snapshot->len;
      page->bytes = node->peer_snapshot->data + action->position;
      page->length = MIN (PAGE_BYTES, page->total_length - action->position);
    }
  links_reply (&node->proxy.links, action->link, action->xid, ERR_NONE,
               wire_peer_reply, &reply);
}
