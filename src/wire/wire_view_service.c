#include "wire/wire_view_service.h"

#define VIEW_SERVICES_MAX 4096u  /* services in a view */
#define VIEW_SLICES_MAX 1048576u /* slices of one service */

/* What the configuration says of a service.  */
static bool_t
wire_service_config (XDR *xdr, struct config_service *config)
{
  return wire_fixed_string (xdr, config->name, sizeof config->name)
         && wire_bool (xdr, &config->sharded)
         && xdr_uint32_t (xdr, &config->slice_count)
         && xdr_uint32_t (xdr, &config->timeout_msec)
         && xdr_uint32_t (xdr, &config->queue_limit);
}

/* A handle as the incarnation of its node, 0 for none or one that is out.  */
static bool_t
wire_handle (XDR *xdr, struct view *view, struct handle *h)
{
  guint64 incarnation
      = xdr->x_op == XDR_ENCODE ? view_incarnation (view, *h) : 0;

  if (!wire_u64 (xdr, &incarnation))
    return FALSE;
  if (xdr->x_op == XDR_DECODE)
    *h = view_find_node (view, incarnation);
  return TRUE;
}

/* A slice.  */
static bool_t
wire_view_slice (XDR *xdr, struct view *view, struct view_slice *slice)
{
  guint i;

  if (!wire_handle (xdr, view, &slice->owner)
      || !wire_handle (xdr, view, &slice->receiver)
      || !wire_u64 (xdr, &slice->epoch)
      || !wire_u64 (xdr, &slice->move_offset))
    return FALSE;
  for (i = 0; i < SUCCESSOR_MAX; i++)
    if (!wire_handle (xdr, view, &slice->successors[i])
        || !wire_handle (xdr, view, &slice->next_successors[i]))
      return FALSE;
  return TRUE;
}

/* The slices of a service.  Their owners' counts are made again.  */
static bool_t
wire_view_slices (XDR *xdr, struct view *view, struct view_service *service)
{
  guint32 count = service->slices->len;
  guint32 i;

  if (!xdr_uint32_t (xdr, &count) || count > VIEW_SLICES_MAX)
    return FALSE;
  if (xdr->x_op == XDR_DECODE)
    g_array_set_size (service->slices, count);
  for (i = 0; i < count; i++)
    {
      struct view_slice *slice = view_slice_at (service, i);
      struct view_node *owner;
      if (!wire_view_slice (xdr, view, slice))
        return FALSE;
      owner = view_node_at (view, slice->owner);
      if (xdr->x_op == XDR_DECODE && owner != NULL)
        owner->owned_slice_count++;
    }
  return TRUE;
}

/* The hot keys of a service; their index is made again.  */
static bool_t
wire_view_hot (XDR *xdr, struct view_service *service)
{
  guint32 count = service->hot_keys->len;
  guint32 i;

  if (!xdr_uint32_t (xdr, &count) || count > HOT_KEYS_MAX)
    return FALSE;
  if (xdr->x_op == XDR_DECODE)
    g_array_set_size (service->hot_keys, count);
  for (i = 0; i < count; i++)
    {
      struct view_hot_key *hot
          = &g_array_index (service->hot_keys, struct view_hot_key, i);
      if (!wire_fixed_string (xdr, hot->key, sizeof hot->key))
        return FALSE;
      if (xdr->x_op == XDR_DECODE && hot->key[0] != '\0')
        g_hash_table_replace (
            service->slice_by_hot_key, g_strdup (hot->key),
            GUINT_TO_POINTER (service->config.slice_count + i));
    }
  return TRUE;
}

/* The services' names and configuration, which nodes refer to.  */
bool_t
wire_services (XDR *xdr, struct view *view)
{
  guint32 count = view->services->len;
  guint32 i;

  if (!xdr_uint32_t (xdr, &count) || count > VIEW_SERVICES_MAX)
    return FALSE;
  for (i = 0; i < count; i++)
    {
      struct config_service config = { 0 };
      struct view_service *service = NULL;
      gboolean configured = FALSE;
      if (xdr->x_op == XDR_ENCODE)
        {
          service = g_ptr_array_index (view->services, i);
          config = service->config;
          configured = service->configured;
        }
      if (!wire_service_config (xdr, &config) || !wire_bool (xdr, &configured))
        return FALSE;
      if (xdr->x_op == XDR_ENCODE)
        continue;
      service = view_add_service (view, config.name);
      service->config = config;
      service->configured = configured;
    }
  return TRUE;
}

/* What the services hold, which refers to nodes.  */
bool_t
wire_service_bodies (XDR *xdr, struct view *view)
{
  guint i;

  for (i = 0; i < view->services->len; i++)
    {
      struct view_service *service = g_ptr_array_index (view->services, i);
      if (!wire_view_slices (xdr, view, service)
          || !wire_view_hot (xdr, service))
        return FALSE;
    }
  return TRUE;
}
