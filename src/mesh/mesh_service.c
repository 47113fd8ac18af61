#include "mesh/mesh_parts.h"

/* The service of the local backend server, which changes if the server's
   address is used again by a server of another service.  */

/* Return whether the local server is of the service of REQUEST.  Other nodes
   go by the record of this one, which may be older than the server.  */
gboolean
mesh_serves (const struct mesh *mesh, const struct mesh_request *request)
{
  return strcmp (request->request.service, mesh->settings.service) == 0;
}

/* Return whether REQUEST, which has not been sent to the local server, waits
   for it.  */
static gboolean
waits_here (const struct mesh_request *request)
{
  return request->phase == MESH_REQUEST_QUEUED
         || (request->phase == MESH_REQUEST_WAITING
             && request->request.forwarded);
}

/* Refuse the requests that wait here for a server of another service, so that
   they can be sent to one while their time lasts.  */
static void
refuse_misplaced (struct mesh *mesh, gint64 now, struct actions *out)
{
  struct handle h = table_next (&mesh->requests, HANDLE_NONE);

  for (; handle_is_set (h); h = table_next (&mesh->requests, h))
    {
      const struct mesh_request *request = table_get (&mesh->requests, h);
      if (!waits_here (request) || mesh_serves (mesh, request))
        continue;
      admission_remove (&mesh->admission, h);
      mesh_reject_here (mesh, h, REASON_OTHER_SERVICE, 0, now, out);
    }
}

/* Forget what was measured and planned for the service so far.  */
static void
forget_service (struct mesh *mesh)
{
  key_rate_reset (&mesh->key_rate, 0, SHARD_KEY_COUNT - 1);
  memset (&mesh->even_keys, 0, sizeof mesh->even_keys);
  memset (&mesh->admission.work_rate, 0, sizeof mesh->admission.work_rate);
  memset (&mesh->admission.retry_spread, 0,
          sizeof mesh->admission.retry_spread);
  g_array_set_size (mesh->handoffs, 0);
}

/* Record at NOW that the local server is of SERVICE.  */
void
mesh_set_service (struct mesh *mesh, const char *service, gint64 now,
                  struct actions *out)
{
  if (strcmp (mesh->settings.service, service) == 0)
    return;
  mesh_log (out, LOG_EVENT_MESH_SERVER, mesh->grant.instance.id,
            "outcome=other-service before=%s service=%s waiting=%u",
            mesh->settings.service, service, mesh->admission.queue->len);
  g_strlcpy (mesh->settings.service, service, sizeof mesh->settings.service);
  forget_service (mesh);
  refuse_misplaced (mesh, now, out);
}
