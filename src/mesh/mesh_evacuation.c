#include "mesh/mesh_parts.h"

#include <string.h>

/* Evacuation of data centres: the set in force at this node, and its effect on
   requests.  */

/* Time in which an evacuation is in force if the settings do not say.  */
#define EVACUATE_USEC_DEFAULT ((gint64)5000000)

/* Requests start at an evacuated server until this long before the time by
   which the evacuation has to be in force.  The margin covers the way to the
   server and a tick that is late.  */
#define SERVE_MARGIN_USEC ((gint64)1000000)

/* A process without a tick for this long stood still and may have missed an
   evacuation.  */
#define STANDSTILL_USEC ((gint64)1000000)

/* Time in which a process that stood still hears from other nodes, or reads,
   what it missed.  After that it goes by what it knows, as in an outage of the
   store.  */
#define CATCH_UP_USEC ((gint64)1500000)

/* When nothing serves a service, callers are told to return after this: the
   end of an evacuation is not known in advance.  */
#define ALL_EVACUATED_RETRY_USEC ((gint64)1000000)

/* Keys that are leaving an evacuated server have their next owner after about
   this time.  */
#define MOVE_RETRY_MSEC 700u

/* Return until when servers of a data centre whose evacuation is learned of
   now may be served.  The operator wrote the record after the latest read that
   did not show it, so the bound ends no earlier than it would if counted from
   the beginning of that read.  */
static gint64
serve_until (const struct mesh *mesh)
{
  gint64 bound_usec = mesh->settings.evacuate_usec > 0
                          ? mesh->settings.evacuate_usec
                          : EVACUATE_USEC_DEFAULT;

  return mesh->freshness[MESH_TOPIC_CONFIG].confirmed_at + bound_usec
         - SERVE_MARGIN_USEC;
}

/* Return whether MEMBER's server may not be selected, since its data centre is
   evacuated.  */
gboolean
mesh_is_evacuated (const struct mesh *mesh, const struct fleet_member *member)
{
  return evacuations_include (&mesh->evacuations, member->zone);
}

/* Return whether the data centre of this node is evacuated.  */
gboolean
mesh_evacuation_is_local (const struct mesh *mesh)
{
  return evacuations_include (&mesh->evacuations, mesh->settings.zone);
}

/* Return whether the owner MEMBER may still be sent requests for its keys.  */
gboolean
mesh_evacuation_serves_keys (const struct mesh *mesh,
                             const struct fleet_member *member, gint64 now)
{
  return mesh->evacuations.zones.count == 0
         || now < evacuations_serve_until (&mesh->evacuations, member->zone);
}

/* Return whether this process stood still lately and does not know whether its
   data centre was evacuated meanwhile: its copy is older than the time in
   which an evacuation is in force.  Deployments whose settings do not name
   that time go on as they did before there were evacuations.  */
static gboolean
may_have_missed (const struct mesh *mesh, gint64 now)
{
  gint64 stood_still_at = now - mesh->last_tick_at >= STANDSTILL_USEC
                              ? now
                              : mesh->stood_still_at;

  return mesh->settings.evacuate_usec > 0 && stood_still_at != 0
         && now - stood_still_at < CATCH_UP_USEC
         && mesh_routing_age_usec (mesh, now)
                >= mesh->settings.evacuate_usec - SERVE_MARGIN_USEC;
}

/* Return why the local server does not get REQUEST now, as far as evacuations
   are concerned, or REASON_NONE.  */
enum reason
mesh_evacuation_refusal (const struct mesh *mesh,
                         const struct mesh_request *request, gint64 now)
{
  gboolean holds_key;

  if (may_have_missed (mesh, now))
    return REASON_NO_CONFIG;
  if (!mesh_evacuation_is_local (mesh))
    return REASON_NONE;
  if (now >= evacuations_serve_until (&mesh->evacuations, mesh->settings.zone))
    return REASON_EVACUATED;
  if (request->phase == MESH_REQUEST_QUEUED)
    return REASON_NONE;
  holds_key = mesh_is_sharded (mesh, request->request.service)
              && grant_covers_key (&mesh->grant, request->request.slice, now);
  return holds_key ? REASON_NONE : REASON_EVACUATED;
}

/* Return after how many milliseconds a request that this node refuses for
   REASON may be served elsewhere, 0 if that is not known.  */
guint32
mesh_evacuation_retry_msec (enum reason reason)
{
  return reason == REASON_EVACUATED ? MOVE_RETRY_MSEC : 0;
}

/* Return whether nothing can serve SERVICE because all data centres of its
   ready servers are evacuated.  */
static gboolean
is_all_evacuated (const struct mesh *mesh, const char *service)
{
  struct handle h;
  gboolean any = FALSE;

  if (mesh->evacuations.zones.count == 0)
    return FALSE;
  h = table_next (&mesh->fleet.members, HANDLE_NONE);
  for (; handle_is_set (h); h = table_next (&mesh->fleet.members, h))
    {
      const struct fleet_member *member
          = fleet_state_member_at (&mesh->fleet, h);
      if (strcmp (member->service, service) != 0
          || member->state != MEMBER_READY)
        continue;
      if (!mesh_is_evacuated (mesh, member))
        return FALSE;
      any = TRUE;
    }
  return any;
}

/* Return PICK for a request of SERVICE, or if it has no member because all
   servers of SERVICE are evacuated, a pick that says so.  */
struct mesh_pick
mesh_evacuation_check_pick (const struct mesh *mesh, const char *service,
                            struct mesh_pick pick)
{
  if (handle_is_set (pick.member) || !is_all_evacuated (mesh, service))
    return pick;
  pick.reason = REASON_EVACUATED;
  pick.wait_usec = ALL_EVACUATED_RETRY_USEC;
  return pick;
}

/* Log the set, which has changed, and SOURCE, where it comes from.  */
static void
log_change (struct mesh *mesh, const char *source, gint64 now,
            struct actions *out)
{
  const struct evacuated_zones *zones = &mesh->evacuations.zones;
  GString *names = g_string_new ("");
  guint32 i;

  for (i = 0; i < zones->count; i++)
    g_string_append_printf (names, "%s%s", i > 0 ? "," : "", zones->names[i]);
  mesh_log (
      out, LOG_EVENT_MESH_EVACUATION, mesh->settings.name,
      "zones=%s offset=%" G_GUINT64_FORMAT
      " source=%s age_ms=%" G_GINT64_FORMAT,
      names->str, zones->offset, source,
      mesh_age_msec (mesh->freshness[MESH_TOPIC_CONFIG].confirmed_at, now));
  g_string_free (names, TRUE);
}

/* Carry out a change of the set: requests that wait are routed again, the keys
   of the local server are given up or taken back, and other nodes are told.
   WAS_LOCAL says whether the local data centre was evacuated before.  */
static void
on_change (struct mesh *mesh, gboolean was_local, const char *source,
           gint64 now, struct actions *out)
{
  log_change (mesh, source, now, out);
  if (was_local && !mesh_evacuation_is_local (mesh))
    mesh_warmup_presume_cold (mesh, now, out);
  if (!was_local)
    mesh->release_keys_at = mesh_evacuation_release_time (mesh, now);
  mesh->keys_released = FALSE;
  mesh_gossip_step (mesh, now, out);
  mesh_orders_update (mesh, now, out);
  mesh_plan_step (mesh, now, out);
  mesh_route_waiting (mesh, TRUE, now, out);
}

/* Process EVENT, records of the operator's topic.  */
void
mesh_evacuation_on_records (struct mesh *mesh,
                            const struct event_evacuations *event, gint64 now,
                            struct actions *out)
{
  gboolean was_local = mesh_evacuation_is_local (mesh);
  guint32 dropped_before = mesh->evacuations.dropped_count;

  if (evacuations_read (&mesh->evacuations, event->items, event->count,
                        event->is_listing, event->next_offset,
                        serve_until (mesh)))
    on_change (mesh, was_local, "store", now, out);
  if (mesh->evacuations.dropped_count != dropped_before)
    mesh_log (out, LOG_EVENT_MESH_BAD_INPUT, mesh->settings.name,
              "what=evacuation reason=full dropped=%u outcome=skipped",
              mesh->evacuations.dropped_count - dropped_before);
}

/* Process the set in GOSSIP.  */
void
mesh_evacuation_on_gossip (struct mesh *mesh, const struct gossip *gossip,
                           gint64 now, struct actions *out)
{
  gboolean was_local = mesh_evacuation_is_local (mesh);

  if (evacuations_adopt (&mesh->evacuations, &gossip->evacuated,
                         serve_until (mesh)))
    on_change (mesh, was_local, gossip->name, now, out);
}

/* Return whether GOSSIP, which tells how recent a configuration is, tells that
   of the set too: the set here is at least as new as the sender's.  A sender
   of an older version has none; what it read says nothing of evacuations where
   this node knows of a set.  */
gboolean
mesh_evacuation_is_confirmed_by (const struct mesh *mesh,
                                 const struct gossip *gossip)
{
  const struct evacuated_zones *zones = &mesh->evacuations.zones;

  return !evacuations_is_newer (&gossip->evacuated, zones)
         && (gossip->evacuated.offset > 0 || zones->offset == 0);
}

/* Refuse the requests in the queue of a server that may not be served any
   more, so that they are tried elsewhere in time.  */
static void
empty_queue (struct mesh *mesh, gint64 now, struct actions *out)
{
  struct handle h = table_next (&mesh->requests, HANDLE_NONE);

  for (; handle_is_set (h); h = table_next (&mesh->requests, h))
    {
      const struct mesh_request *request = table_get (&mesh->requests, h);
      if (request->phase != MESH_REQUEST_QUEUED)
        continue;
      admission_remove (&mesh->admission, h);
      mesh_reject_here (mesh, h, REASON_EVACUATED, MOVE_RETRY_MSEC, now, out);
    }
}

/* Run the periodic work at a tick.  */
void
mesh_evacuation_step (struct mesh *mesh, gint64 now, struct actions *out)
{
  if (!mesh->keys_released && mesh_evacuation_releases_keys (mesh, now))
    {
      mesh->keys_released = TRUE;
      mesh_orders_update (mesh, now, out);
    }
  if (mesh->admission.queue->len > 0 && mesh_evacuation_is_local (mesh)
      && now >= evacuations_serve_until (&mesh->evacuations,
                                         mesh->settings.zone))
    empty_queue (mesh, now, out);
}

/* Note at a tick, before its time is recorded, whether the process stood still
   until now.  */
void
mesh_evacuation_on_tick (struct mesh *mesh, gint64 now)
{
  if (now - mesh->last_tick_at >= STANDSTILL_USEC)
    mesh->stood_still_at = now;
}
