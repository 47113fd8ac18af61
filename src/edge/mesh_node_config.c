#include "edge/mesh_node.h"

#include "platform/config.h"

/* Decode a configuration of LENGTH BYTES, pass it to the decision logic, and
   keep its bytes for other nodes if it is newer than the one in force.
   VERSION is the version that it has to have, 0 if it was read from the store.
   Return FALSE if it is malformed or has another version.  */
gboolean
mesh_node_apply_config (struct mesh_node *node, const guint8 *bytes,
                        gsize length, guint64 version)
{
  struct event event = { .kind = EVENT_ROUTING };
  struct routing *routing = platform_config_read (bytes, length);

  if (routing == NULL)
    return FALSE;
  if (version != 0 && routing->version != version)
    {
      routing_free (routing);
      return FALSE;
    }
  if (node->mesh.routing == NULL
      || routing->version > node->mesh.routing->version)
    {
      g_byte_array_set_size (node->config_bytes, 0);
      g_byte_array_append (node->config_bytes, bytes, (guint)length);
    }
  event.u.routing.routing = routing;
  event.u.routing.from_store = version == 0;
  mesh_node_handle_event (node, &event);
  return TRUE;
}
