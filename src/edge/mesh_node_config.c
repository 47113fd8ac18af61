#include "edge/mesh_node.h"

#include "platform/config.h"
#include "wire/wire_deflate.h"

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
      g_clear_pointer (&node->config_deflated, g_byte_array_unref);
    }
  event.u.routing.routing = routing;
  event.u.routing.from_store = version == 0;
  mesh_node_handle_event (node, &event);
  return TRUE;
}

/* Fill in the configuration in force for a node that fetches it, compressed if
   that node ACCEPTS_DEFLATE.  Links may be slow, and many nodes fetch a new
   version at the same moment.  One that is too long for a reply is left out
   and counted: the records in the reply are of use without it, and the other
   node reads the store itself.  */
void
mesh_node_fill_config (struct mesh_node *node, struct mesh_fetch_reply *reply,
                       gboolean accepts_deflate)
{
  const GByteArray *plain = node->config_bytes;
  const GByteArray *sent = plain;

  if (accepts_deflate && plain->len <= MESH_CONFIG_BYTES_MAX)
    {
      if (node->config_deflated == NULL)
        node->config_deflated = wire_deflate (plain->data, plain->len);
      if (node->config_deflated != NULL)
        sent = node->config_deflated;
    }
  if (sent->len > MESH_BLOB_BYTES_MAX)
    {
      node->oversize_configs++;
      return;
    }
  reply->config_version = node->mesh.routing->version;
  reply->config_bytes = sent->data;
  reply->config_length = sent->len;
  reply->config_plain_length = sent != plain ? plain->len : 0;
}

/* Apply the configuration in FETCH, a reply of another node.  One that is not
   newer than the one in force is not read: parsing a long one takes a slow
   processor a tenth of a second.  Return FALSE if it is malformed or has
   another version than the reply says.  */
gboolean
mesh_node_take_config (struct mesh_node *node,
                       const struct mesh_fetch_reply *fetch)
{
  GByteArray *plain;
  gboolean taken;

  if (node->mesh.routing != NULL
      && fetch->config_version <= node->mesh.routing->version)
    return TRUE;
  if (fetch->config_plain_length == 0)
    return mesh_node_apply_config (node, fetch->config_bytes,
                                   fetch->config_length,
                                   fetch->config_version);
  if (fetch->config_plain_length > MESH_CONFIG_BYTES_MAX)
    return FALSE;
  plain = wire_inflate (fetch->config_bytes, fetch->config_length,
                        fetch->config_plain_length);
  if (plain == NULL)
    return FALSE;
  taken = mesh_node_apply_config (node, plain->data, plain->len,
                                  fetch->config_version);
  g_byte_array_unref (plain);
  return taken;
}
