#include "types/view.h"

#include <string.h>

/* Release a service.  */
static void
service_free (gpointer data)
{
  struct view_service *service = data;

  g_array_free (service->slices, TRUE);
  g_array_free (service->hot_keys, TRUE);
  g_array_free (service->members, TRUE);
  g_hash_table_destroy (service->slice_by_hot_key);
  g_free (service);
}

/* Set up the view of an empty log.  */
void
view_init (struct view *view)
{
  memset (view, 0, sizeof *view);
  config_init (&view->config);
  table_init (&view->nodes, sizeof (struct view_node));
  view->handle_by_incarnation
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  view->services = g_ptr_array_new_with_free_func (service_free);
}

/* Release what VIEW holds.  */
void
view_clear (struct view *view)
{
  config_clear (&view->config);
  g_free (view->config_text);
  table_clear (&view->nodes);
  g_hash_table_destroy (view->handle_by_incarnation);
  g_ptr_array_free (view->services, TRUE);
  memset (view, 0, sizeof *view);
}

/* The node under H, or NULL if it is out.  */
struct view_node *
view_node_at (const struct view *view, struct handle h)
{
  return table_get (&view->nodes, h);
}

/* The handle of an incarnation, HANDLE_NONE if it is not in the view.  */
struct handle
view_find_node (const struct view *view, guint64 incarnation)
{
  struct handle h = { GPOINTER_TO_UINT (
      g_hash_table_lookup (view->handle_by_incarnation, &incarnation)) };
  return h;
}

/* The incarnation under H, 0 if it is out.  */
guint64
view_incarnation (const struct view *view, struct handle h)
{
  const struct view_node *node = view_node_at (view, h);

  return node != NULL ? node->join.incarnation : 0;
}

/* The service called NAME, or NULL.  */
struct view_service *
view_find_service (const struct view *view, const char *name)
{
  guint i;

  for (i = 0; i < view->services->len; i++)
    {
      struct view_service *service = g_ptr_array_index (view->services, i);
      if (strcmp (service->config.name, name) == 0)
        return service;
    }
  return NULL;
}

/* Add a service without slices, or find it.  */
struct view_service *
view_add_service (struct view *view, const char *name)
{
  struct view_service *service = view_find_service (view, name);

  if (service != NULL)
    return service;
  service = g_new0 (struct view_service, 1);
  g_strlcpy (service->config.name, name, sizeof service->config.name);
  service->slices = g_array_new (FALSE, TRUE, sizeof (struct view_slice));
  service->hot_keys = g_array_new (FALSE, TRUE, sizeof (struct view_hot_key));
  service->members = g_array_new (FALSE, TRUE, sizeof (struct handle));
  service->slice_by_hot_key
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_ptr_array_add (view->services, service);
  return service;
}

/* The slice numbered SLICE, or NULL if there is none.  */
struct view_slice *
view_slice_at (const struct view_service *service, guint32 slice)
{
  if (slice >= service->slices->len)
    return NULL;
  return &g_array_index (service->slices, struct view_slice, slice);
}

/* Tell whether INCARNATION went out lately and so cannot join again.  */
gboolean
view_was_removed (const struct view *view, guint64 incarnation)
{
  guint i;

  for (i = 0; i < VIEW_REMOVED_MAX; i++)
    if (view->removed[i] == incarnation)
      return incarnation != 0;
  return FALSE;
}

/* Add a node whose join stands at OFFSET, and return its handle.  */
struct handle
view_add_node (struct view *view, const struct record_join *join,
               guint64 offset)
{
  struct view_service *service = view_add_service (view, join->service);
  struct handle h = table_add (&view->nodes);
  struct view_node *node = view_node_at (view, h);

  node->join = *join;
  node->join_offset = offset;
  g_hash_table_insert (view->handle_by_incarnation,
                       g_memdup2 (&join->incarnation, sizeof (guint64)),
                       GUINT_TO_POINTER (h.bits));
  g_array_append_val (service->members, h);
  return h;
}

/* Remove the node under H, which then counts as out.  */
void
view_remove_node (struct view *view, struct handle h)
{
  struct view_node *node = view_node_at (view, h);
  struct view_service *service;
  guint i;

  if (node == NULL)
    return;
  service = view_find_service (view, node->join.service);
  for (i = 0; i < service->members->len; i++)
    if (handle_equal (g_array_index (service->members, struct handle, i), h))
      {
        g_array_remove_index (service->members, i);
        break;
      }
  view->removed[view->removed_next] = node->join.incarnation;
  view->removed_next = (view->removed_next + 1) % VIEW_REMOVED_MAX;
  g_hash_table_remove (view->handle_by_incarnation, &node->join.incarnation);
  table_remove (&view->nodes, h);
}

/* Remember that the record at OFFSET put a configuration in force.  */
void
view_remember_config (struct view *view, guint64 offset, guint64 writer,
                      guint64 serial)
{
  struct view_config_id *id = &view->config_history[view->config_history_next];

  id->offset = offset;
  id->writer = writer;
  id->serial = serial;
  view->config_history_next
      = (view->config_history_next + 1) % CONFIG_HISTORY_SIZE;
}
