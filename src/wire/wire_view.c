#include "wire/wire_view.h"

#include "wire/wire_record.h"
#include "wire/wire_view_service.h"

#include <string.h>
#include <xxhash.h>

#define VIEW_VERSION 1u                /* format of these bytes */
#define VIEW_NODES_MAX 262144u         /* nodes in a view */
#define VIEW_TEXT_MAX RECORD_BYTES_MAX /* bytes of a configuration */

/* Plain parts */

/* COUNT numbers.  */
static bool_t
wire_numbers (XDR *xdr, guint64 *numbers, guint count)
{
  guint i;

  for (i = 0; i < count; i++)
    if (!wire_u64 (xdr, &numbers[i]))
      return FALSE;
  return TRUE;
}

/* A node, without the count of its slices, which is counted again.  */
static bool_t
wire_node (XDR *xdr, struct view_node *node)
{
  enum_t state = (enum_t)node->state;

  if (!wire_join (xdr, &node->join) || !wire_u64 (xdr, &node->join_offset)
      || !xdr_enum (xdr, &state) || !wire_u64 (xdr, &node->witness_epoch)
      || !xdr_uint32_t (xdr, &node->witness_count)
      || !wire_numbers (xdr, node->witnesses, WITNESS_MAX)
      || !xdr_uint32_t (xdr, &node->previous_witness_count)
      || !wire_numbers (xdr, node->previous_witnesses, WITNESS_MAX))
    return FALSE;
  node->state = (enum node_state)state;
  return state >= NODE_LIVE && state <= NODE_REPLACED
         && node->witness_count <= WITNESS_MAX
         && node->previous_witness_count <= WITNESS_MAX;
}

/* The records that put configurations in force.  */
static bool_t
wire_past (XDR *xdr, struct view *view)
{
  guint i;

  for (i = 0; i < CONFIG_HISTORY_SIZE; i++)
    if (!wire_u64 (xdr, &view->config_history[i].offset)
        || !wire_u64 (xdr, &view->config_history[i].writer)
        || !wire_u64 (xdr, &view->config_history[i].serial))
      return FALSE;
  return xdr_uint32_t (xdr, &view->config_history_next)
         && view->config_history_next < CONFIG_HISTORY_SIZE;
}

/* The fields that hold no objects.  */
static bool_t
wire_head (XDR *xdr, struct view *view)
{
  guint32 version = VIEW_VERSION;

  return xdr_uint32_t (xdr, &version) && version == VIEW_VERSION
         && wire_u64 (xdr, &view->applied_offset)
         && wire_bool (xdr, &view->has_config)
         && wire_fixed_string (xdr, view->config_author,
                               sizeof view->config_author)
         && wire_u64 (xdr, &view->config_offset) && wire_past (xdr, view)
         && wire_u64 (xdr, &view->snapshot_offset)
         && wire_u64 (xdr, &view->partial_snapshot.writer)
         && wire_u64 (xdr, &view->partial_snapshot.offset)
         && xdr_uint32_t (xdr, &view->partial_snapshot.next_chunk);
}

/* The configuration's text; empty where there is none.  */
static bool_t
wire_config_text (XDR *xdr, struct view *view)
{
  char *text = view->config_text;
  char empty[1] = "";

  if (xdr->x_op == XDR_ENCODE && text == NULL)
    text = empty;
  if (!wire_string (xdr, &text, VIEW_TEXT_MAX))
    return FALSE;
  if (xdr->x_op == XDR_DECODE)
    view->config_text = text;
  return TRUE;
}

/* The incarnations remembered as out, without the places still free.  */
static bool_t
wire_outs (XDR *xdr, struct view *view)
{
  guint32 count = VIEW_REMOVED_MAX;

  while (xdr->x_op == XDR_ENCODE && count > 0 && view->removed[count - 1] == 0)
    count--;
  return xdr_uint32_t (xdr, &count) && count <= VIEW_REMOVED_MAX
         && wire_numbers (xdr, view->removed, count)
         && xdr_uint32_t (xdr, &view->removed_next)
         && view->removed_next < VIEW_REMOVED_MAX;
}

/* Nodes */

/* Order handles by the offset of their nodes' joins.  */
static gint
by_join (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct view *view = data;
  guint64 left = view_node_at (view, *(const struct handle *)a)->join_offset;
  guint64 right = view_node_at (view, *(const struct handle *)b)->join_offset;

  return left < right ? -1 : left > right;
}

/* The handles of all nodes in order of their joins.  */
static GArray *
sorted_nodes (struct view *view)
{
  GArray *handles = g_array_new (FALSE, FALSE, sizeof (struct handle));
  struct handle h = table_next (&view->nodes, HANDLE_NONE);

  for (; handle_is_set (h); h = table_next (&view->nodes, h))
    g_array_append_val (handles, h);
  g_array_sort_with_data (handles, by_join, view);
  return handles;
}

/* Encode the nodes.  */
static bool_t
encode_nodes (XDR *xdr, struct view *view)
{
  GArray *handles = sorted_nodes (view);
  guint32 count = handles->len;
  bool_t done = xdr_uint32_t (xdr, &count);
  guint i;

  for (i = 0; done && i < count; i++)
    done = wire_node (
        xdr, view_node_at (view, g_array_index (handles, struct handle, i)));
  g_array_free (handles, TRUE);
  return done;
}

/* Decode the nodes; they become members of their services in order.  */
static bool_t
decode_nodes (XDR *xdr, struct view *view)
{
  guint32 count = 0;
  guint32 i;

  if (!xdr_uint32_t (xdr, &count) || count > VIEW_NODES_MAX)
    return FALSE;
  for (i = 0; i < count; i++)
    {
      struct view_node node = { 0 };
      struct handle h;
      if (!wire_node (xdr, &node)
          || handle_is_set (view_find_node (view, node.join.incarnation)))
        return FALSE;
      h = view_add_node (view, &node.join, node.join_offset);
      *view_node_at (view, h) = node;
    }
  return TRUE;
}

/* The whole view */

/* A view: ITEM is a struct view.  */
static bool_t
wire_view (XDR *xdr, void *item)
{
  struct view *view = item;

  if (xdr->x_op == XDR_FREE)
    return TRUE;
  return wire_head (xdr, view) && wire_config_text (xdr, view)
         && wire_outs (xdr, view) && wire_services (xdr, view)
         && (xdr->x_op == XDR_ENCODE ? encode_nodes (xdr, view)
                                     : decode_nodes (xdr, view))
         && wire_service_bodies (xdr, view);
}

/* Encode VIEW; free the bytes with g_byte_array_unref.  NULL if it is larger
   than an encoded view may be.  */
GByteArray *
view_encode (const struct view *view)
{
  return wire_encode (wire_view, view, VIEW_BYTES_MAX);
}

/* Decode LENGTH bytes into VIEW, which this sets up and which is empty again
   with ERR_MALFORMED.  The objects of the configuration are left to whoever
   reads its text.  */
enum err
view_decode (struct view *view, const guint8 *bytes, gsize length)
{
  enum err code;

  view_init (view);
  code = wire_decode (wire_view, view, bytes, length);
  if (code == ERR_NONE && !view->has_config)
    g_clear_pointer (&view->config_text, g_free);
  if (code == ERR_NONE)
    return ERR_NONE;
  view_clear (view);
  view_init (view);
  return code;
}

/* A digest of VIEW: nodes that are at the same offset have the same.  */
guint64
view_digest (const struct view *view)
{
  GByteArray *bytes = view_encode (view);
  guint64 digest;

  if (bytes == NULL)
    return 0;
  digest = XXH3_64bits (bytes->data, bytes->len);
  g_byte_array_unref (bytes);
  return digest;
}
