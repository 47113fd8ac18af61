#include "types/view.h"

#include <string.h>

/* Replaces a view by one loaded from a snapshot.  A node in both views keeps
   its handle, and a handle of the old view never refers to another node
   afterwards.  */

/* Copy NODE of the new view into NODES, under its old handle if VIEW has the
   node.  Return the handle.  */
static struct handle
adopt_node (const struct view *view, struct table *nodes,
            const struct view_node *node)
{
  struct handle h = view_find_node (view, node->join.incarnation);

  if (!handle_is_set (h))
    h = table_add (nodes);
  *(struct view_node *)table_get (nodes, h) = *node;
  return h;
}

/* Replace H by its new handle in MAP, which maps old bits to new bits.  */
static void
remap_handle (struct handle *h, GHashTable *map)
{
  h->bits = GPOINTER_TO_UINT (
      g_hash_table_lookup (map, GUINT_TO_POINTER (h->bits)));
}

/* Replace all handles in SERVICE by their new ones.  */
static void
remap_service (struct view_service *service, GHashTable *map)
{
  guint i;
  guint k;

  for (i = 0; i < service->members->len; i++)
    remap_handle (&g_array_index (service->members, struct handle, i), map);
  for (i = 0; i < service->slices->len; i++)
    {
      struct view_slice *slice = view_slice_at (service, i);
      remap_handle (&slice->owner, map);
      remap_handle (&slice->receiver, map);
      for (k = 0; k < SUCCESSOR_MAX; k++)
        {
          remap_handle (&slice->successors[k], map);
          remap_handle (&slice->next_successors[k], map);
        }
    }
}

/* Remove from NODES, the table of VIEW, the nodes that FRESH lacks.  */
static void
remove_missing (const struct view *view, const struct view *fresh,
                struct table *nodes)
{
  GHashTableIter iter;
  gpointer key;
  gpointer bits;

  g_hash_table_iter_init (&iter, view->handle_by_incarnation);
  while (g_hash_table_iter_next (&iter, &key, &bits))
    if (!g_hash_table_contains (fresh->handle_by_incarnation, key))
      table_remove (nodes, (struct handle){ GPOINTER_TO_UINT (bits) });
}

/* Replace the content of VIEW by that of FRESH.  What VIEW owned is released,
   and FRESH is set to zero.  */
void
view_replace (struct view *view, struct view *fresh)
{
  GHashTable *map = g_hash_table_new (NULL, NULL);
  struct table nodes = view->nodes;
  struct handle h = table_next (&fresh->nodes, HANDLE_NONE);
  guint i;

  for (; handle_is_set (h); h = table_next (&fresh->nodes, h))
    {
      const struct view_node *node = view_node_at (fresh, h);
      struct handle to = adopt_node (view, &nodes, node);
      g_hash_table_insert (map, GUINT_TO_POINTER (h.bits),
                           GUINT_TO_POINTER (to.bits));
      g_hash_table_replace (
          fresh->handle_by_incarnation,
          g_memdup2 (&node->join.incarnation, sizeof (guint64)),
          GUINT_TO_POINTER (to.bits));
    }
  for (i = 0; i < fresh->services->len; i++)
    remap_service (g_ptr_array_index (fresh->services, i), map);
  remove_missing (view, fresh, &nodes);
  g_hash_table_destroy (map);
  table_clear (&fresh->nodes);
  fresh->nodes = nodes;
  table_init (&view->nodes, sizeof (struct view_node));
  view_clear (view);
  *view = *fresh;
  memset (fresh, 0, sizeof *fresh);
}
