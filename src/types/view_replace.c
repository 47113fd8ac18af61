#include "types/view.h"

#include <string.h>

/* Putting a view that came from a snapshot in the place of an older one.  A
   node that is in both keeps its handle, and no handle of the older view ever
   names another node.  */

/* The handle that NODE of the fresh view gets in NODES.  */
static struct handle
place_node (const struct view *view, struct table *nodes,
            const struct view_node *node)
{
  struct handle h = view_find_node (view, node->join.incarnation);

  if (!handle_is_set (h))
    h = table_add (nodes);
  *(struct view_node *)table_get (nodes, h) = *node;
  return h;
}

/* Tell what H has become by the map of bits to bits.  */
static void
map_handle (struct handle *h, GHashTable *map)
{
  h->bits = GPOINTER_TO_UINT (
      g_hash_table_lookup (map, GUINT_TO_POINTER (h->bits)));
}

/* Put the new handles into SERVICE.  */
static void
map_service (struct view_service *service, GHashTable *map)
{
  guint i;
  guint k;

  for (i = 0; i < service->members->len; i++)
    map_handle (&g_array_index (service->members, struct handle, i), map);
  for (i = 0; i < service->slices->len; i++)
    {
      struct view_slice *slice = view_slice_at (service, i);
      map_handle (&slice->owner, map);
      map_handle (&slice->receiver, map);
      for (k = 0; k < SUCCESSOR_MAX; k++)
        {
          map_handle (&slice->successors[k], map);
          map_handle (&slice->next_successors[k], map);
        }
    }
}

/* Remove from NODES, which was the table of VIEW, what FRESH has not.  */
static void
drop_others (const struct view *view, const struct view *fresh,
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

/* Put FRESH in the place of VIEW and release what VIEW held.  FRESH is given
   up.  */
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
      struct handle to = place_node (view, &nodes, node);
      g_hash_table_insert (map, GUINT_TO_POINTER (h.bits),
                           GUINT_TO_POINTER (to.bits));
      g_hash_table_replace (
          fresh->handle_by_incarnation,
          g_memdup2 (&node->join.incarnation, sizeof (guint64)),
          GUINT_TO_POINTER (to.bits));
    }
  for (i = 0; i < fresh->services->len; i++)
    map_service (g_ptr_array_index (fresh->services, i), map);
  drop_others (view, fresh, &nodes);
  g_hash_table_destroy (map);
  table_clear (&fresh->nodes);
  fresh->nodes = nodes;
  table_init (&view->nodes, sizeof (struct view_node));
  view_clear (view);
  *view = *fresh;
  memset (fresh, 0, sizeof *fresh);
}
