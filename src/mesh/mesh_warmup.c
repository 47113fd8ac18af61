#include "mesh/mesh_parts.h"

/* The warm-up of the local backend server: its rate while it is cold, from the
   configuration, and how long it is cold, from its heartbeats.  */

/* Log that the server is cold or warm, if that has changed.  */
static void
log_change (struct mesh *mesh, gint64 now, struct actions *out)
{
  const struct warmup *warmup = &mesh->admission.warmup;
  gboolean is_cold = warmup_is_cold (warmup, now);

  if (is_cold == mesh->server_was_cold)
    return;
  mesh->server_was_cold = is_cold;
  mesh_log (out, LOG_EVENT_MESH_WARMUP, mesh->grant.instance.id,
            "outcome=%s left_ms=%" G_GINT64_FORMAT " per_s=%u busy=%u/%u"
            " waiting=%u",
            is_cold ? "cold" : "warm",
            warmup_left_usec (warmup, now) / USEC_PER_MSEC, warmup->per_second,
            mesh->admission.busy_slots, mesh->admission.slots,
            mesh->admission.queue->len);
}

/* Return the service of the local server in the configuration, or NULL.  */
static const struct route_service *
own_service (const struct mesh *mesh)
{
  return mesh->routing != NULL
             ? routing_find_service (mesh->routing, mesh->settings.service)
             : NULL;
}

/* Take the rate of a cold server from the configuration.  */
void
mesh_warmup_step (struct mesh *mesh, gint64 now, struct actions *out)
{
  const struct route_service *service = own_service (mesh);

  if (service != NULL)
    warmup_set_rate (&mesh->admission.warmup, service->warmup_milli_per_s);
  log_change (mesh, now, out);
}

/* Process a heartbeat by which the server is cold for WARMUP_USEC more.  */
void
mesh_warmup_on_heartbeat (struct mesh *mesh, gint64 warmup_usec, gint64 now,
                          struct actions *out)
{
  warmup_on_heartbeat (&mesh->admission.warmup, warmup_usec, now);
  mesh_warmup_step (mesh, now, out);
}

/* Presume that the server is cold until its next heartbeat.  A server that got
   no requests for long may have become cold since its last one.  */
void
mesh_warmup_presume_cold (struct mesh *mesh, gint64 now, struct actions *out)
{
  const struct route_service *service = own_service (mesh);

  if (service == NULL || service->warmup_usec == 0)
    return;
  warmup_presume_cold (&mesh->admission.warmup, now + service->warmup_usec);
  log_change (mesh, now, out);
}
