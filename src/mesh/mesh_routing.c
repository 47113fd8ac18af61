#include "mesh/mesh_parts.h"

/* The operator's configuration at this node: which version is in force, and
   how recently a read of the store showed that there is no newer one.  */

/* A version has to be in force within the time that the settings name, less
   this for the request to reach the decision.  */
#define APPLY_MARGIN_USEC ((gint64)250000)

/* A process that starts waits this long to learn whether its configuration is
   the newest.  */
#define UNCONFIRMED_USEC ((gint64)3500000)

/* Return the version of the configuration in force, 0 for none.  */
guint64
mesh_routing_version (const struct mesh *mesh)
{
  return mesh->routing != NULL ? mesh->routing->version : 0;
}

/* Return the age in microseconds of the latest read known here that showed no
   configuration newer than the one in force; -1 if there was none.  */
gint64
mesh_routing_age_usec (const struct mesh *mesh, gint64 now)
{
  return freshness_age_usec (&mesh->freshness[MESH_TOPIC_CONFIG], now);
}

/* Return whether another node is known to have a newer configuration than
   this one.  */
gboolean
mesh_routing_is_outdated (const struct mesh *mesh)
{
  struct handle h = table_next (&mesh->peers, HANDLE_NONE);

  for (; handle_is_set (h); h = table_next (&mesh->peers, h))
    if (((const struct peer_state *)table_get (&mesh->peers, h))
            ->config_version
        > mesh_routing_version (mesh))
      return TRUE;
  return FALSE;
}

/* Return whether the configuration in force is recent enough to say that a
   route does not exist.  */
gboolean
mesh_routing_is_recent (const struct mesh *mesh, gint64 now)
{
  gint64 age_usec = mesh_routing_age_usec (mesh, now);

  return mesh->routing != NULL && age_usec >= 0
         && age_usec <= mesh->settings.config_apply_usec - APPLY_MARGIN_USEC;
}

/* Note whether the configuration may be used.  A process that has just started
   may have had a newer one in an earlier life, so it uses none until a read
   has shown that there is no newer one, or UNCONFIRMED_USEC have passed, as in
   an outage of the store.  From then on every version is used until a newer
   one is in force, whatever its age.  */
void
mesh_routing_check (struct mesh *mesh, gint64 now)
{
  mesh->config_usable = mesh->config_usable
                        || mesh_routing_is_recent (mesh, now)
                        || (mesh->routing != NULL
                            && now - mesh->started_at >= UNCONFIRMED_USEC);
}

/* Return the configuration that requests are routed by, or NULL.  */
struct routing *
mesh_routing_usable (const struct mesh *mesh)
{
  return mesh->config_usable ? mesh->routing : NULL;
}

/* Return the name of the node that runs PROCESS, or an empty text.  */
const char *
mesh_process_name (struct mesh *mesh, guint64 process)
{
  if (process == mesh->settings.incarnation)
    return mesh->settings.name;
  return mesh_member_name (mesh, mesh_peer_of (mesh, process));
}

/* Return the name of the node that made this read, or an empty text.  */
const char *
mesh_routing_source (struct mesh *mesh)
{
  return mesh_process_name (mesh, mesh->freshness[MESH_TOPIC_CONFIG].source);
}

/* Log that parts of ROUTING could not be used, if there are any.  */
static void
log_faults (const struct routing *routing, struct actions *out)
{
  if (routing->fault_count > 0)
    mesh_log (out, LOG_EVENT_MESH_BAD_INPUT, routing->first_fault,
              "what=configuration version=%" G_GUINT64_FORMAT
              " faults=%u outcome=in-part",
              routing->version, routing->fault_count);
}

/* Put the configuration in EVENT into force, unless it is not newer than the
   one in force.  */
void
mesh_routing_apply (struct mesh *mesh, const struct event_routing *event,
                    gint64 now, struct actions *out)
{
  struct routing *routing = event->routing;
  guint64 old_version = mesh_routing_version (mesh);

  mesh_log (out, LOG_EVENT_MESH_ROUTING, "",
            "version=%" G_GUINT64_FORMAT " before=%" G_GUINT64_FORMAT
            " routes=%u services=%u outcome=%s from=%s",
            routing->version, old_version, routing->routes->len,
            routing->services->len,
            routing->version > old_version ? "in-force" : "passed-over",
            event->from_store ? "store" : "node");
  if (routing->version <= old_version)
    {
      routing_free (routing);
      return;
    }
  log_faults (routing, out);
  routing_free (mesh->routing);
  mesh->routing = routing;
  mesh_newest_applied (mesh, now, out);
  mesh_plan_step (mesh, now, out);
}

/* Process GOSSIP, the reply of another node to a message that was sent at
   SENT_AT: if no newer configuration is in force there, and no newer set of
   evacuated data centres, what that node knows
   about the store holds for the configuration here.  */
void
mesh_routing_on_gossip (struct mesh *mesh, const struct gossip *gossip,
                        gint64 sent_at)
{
  if (gossip->config_confirmed_age_usec >= 0 && gossip->config_version > 0
      && gossip->config_version <= mesh_routing_version (mesh)
      && mesh_evacuation_is_confirmed_by (mesh, gossip))
    freshness_confirm (&mesh->freshness[MESH_TOPIC_CONFIG],
                       sent_at - gossip->config_confirmed_age_usec,
                       gossip->config_source);
}
