#include "edge/node.h"
#include "wire/wire_view.h"

#include <string.h>

/* Encode this node's view and give the core the bytes, which stay until the
   next time.  */
void
node_encode_view (struct node *node)
{
  struct event event = { .kind = EVENT_SNAPSHOT_BYTES };

  if (node->snapshot != NULL)
    g_byte_array_unref (node->snapshot);
  node->snapshot = view_encode (&node->core.view);
  event.u.snapshot_bytes.offset = node->core.view.next;
  if (node->snapshot != NULL)
    {
      event.u.snapshot_bytes.bytes = node->snapshot->data;
      event.u.snapshot_bytes.length = node->snapshot->len;
    }
  node_feed (node, &event);
}

/* Decode a snapshot and give the core the view.  */
void
node_decode_view (struct node *node, const guint8 *bytes, guint32 length)
{
  struct event event = { .kind = EVENT_SNAPSHOT };

  if (view_decode (&node->decoded, bytes, length) == ERR_NONE)
    event.u.snapshot.view = &node->decoded;
  else
    view_clear (&node->decoded);
  node_feed (node, &event);
}
