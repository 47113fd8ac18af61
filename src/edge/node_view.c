#include "edge/node.h"
#include "wire/wire_peer.h"
#include "wire/wire_view.h"

#define PAGE_BYTES (FETCH_BYTES_MAX / 4) /* bytes of a view in one reply */

#include <string.h>

/* Encode this node's view and give the core the bytes, which stay until the
   next time.  */
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

/* Decode a snapshot and give the core the view.  */
void
node_decode_snapshot (struct node *node, const guint8 *bytes, guint32 length)
{
  struct event event = { .kind = EVENT_SNAPSHOT_DECODED };

  if (view_decode (&node->decoded_view, bytes, length) == ERR_NONE)
    event.u.snapshot.view = &node->decoded_view;
  else
    view_clear (&node->decoded_view);
  node_handle_event (node, &event);
}

/* Encode the view for a peer, unless it was encoded at this offset.  */
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

/* Reply to a fetch with a page of the view.  The view is encoded anew for a
   first page; a later page of another snapshot than the last one encoded gets
   no bytes, and the peer begins again.  */
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
