#include "mesh/mesh_parts.h"
#include "types/store_offset.h"

/* Keys are assigned for the first time once no member has changed for
   SETTLE_USEC, so that members that start together all get keys, but no later
   than SETTLE_MAX_USEC after the start.  */
#define SETTLE_USEC ((gint64)700000)
#define SETTLE_MAX_USEC ((gint64)4000000)

#define BALANCE_INTERVAL_USEC ((gint64)1500000) /* between balance checks */

/* A proposal whose append has not ended after this time is abandoned.  */
#define PROPOSAL_TIMEOUT_USEC ((gint64)4000000)

/* Longest further wait, after the pause that follows a conflict, for the
   records that caused the conflict.  */
#define CATCH_UP_USEC ((gint64)400000)

/* A member that owns nothing is dropped after it has been unresponsive for
   this long.  */
#define DROP_MEMBER_USEC ((gint64)30000000)

/* Maps */

/* Propose MAP, which the proposal takes over.  */
static void
propose_map (struct mesh *mesh, struct shard_map *map, gint64 now,
             struct actions *out)
{
  struct fleet_record record = { .kind = FLEET_MAP };

  shard_map_merge (map);
  record.u.map = *map;
  mesh_propose (mesh, &record, mesh->fleet.applied_offset, now, out);
}

/* Return whether the owner of SHARD, a shard of SERVICE, is lost, or has a
   server of another service now, which it grants no keys of SERVICE.  */
static gboolean
is_owner_gone (struct mesh *mesh, const struct shard *shard,
               const char *service, gint64 now)
{
  struct handle h = fleet_state_find (&mesh->fleet, shard->owner);
  const struct fleet_member *owner = fleet_state_member_at (&mesh->fleet, h);

  return (owner != NULL && strcmp (owner->service, service) != 0)
         || mesh_is_lost (mesh, h, now);
}

/* Mark the shards of MAP whose owners are gone.  Return whether there is
   any.  */
static gboolean
mark_lost (struct mesh *mesh, struct shard_map *map, gint64 now)
{
  gboolean changed = FALSE;
  guint i;

  for (i = 0; i < map->shards->len; i++)
    {
      struct shard *shard = shard_map_at (map, i);
      if (shard->state != SHARD_HELD
          || !is_owner_gone (mesh, shard, map->service, now))
        continue;
      shard->state = SHARD_LOST;
      shard->loss_id = map->next_fence++;
      shard->state_seen_at = now;
      shard->next_owner = "";
      changed = TRUE;
    }
  return changed;
}

/* Propose the changes that this node has to make to its own shards.  Return
   whether there are any.  */
static gboolean
propose_own_shards (struct mesh *mesh, gint64 now, struct actions *out)
{
  const char *service = mesh->settings.service;
  const struct shard_map *known = fleet_state_map (&mesh->fleet, service);
  struct shard_owner owner = { mesh->settings.name,
                               &mesh->grant,
                               NULL,
                               now,
                               mesh_evacuation_releases_keys (mesh, now),
                               mesh->min_fence };
  struct shard_map map;
  GArray *candidates;
  gboolean changed;

  if (known == NULL || !mesh_era_is_settled (mesh, now))
    return FALSE;
  candidates = mesh_candidates (mesh, service, now);
  owner.candidates = candidates;
  mesh_era_copy_map (mesh, &map, known);
  mesh_handoffs_apply (mesh, &map, candidates, now);
  changed = mesh_era_renew (mesh, &map, candidates, now);
  changed = shard_reconcile (&map, &owner) || changed;
  if (changed)
    propose_map (mesh, &map, now, out);
  else
    shard_map_clear (&map);
  g_array_free (candidates, TRUE);
  return changed;
}

/* Return whether the members have had time to register.  */
static gboolean
is_settled (const struct mesh *mesh, gint64 now)
{
  return now - mesh->members_changed_at >= SETTLE_USEC
         || now - mesh->started_at >= SETTLE_MAX_USEC;
}

/* Make the changes to MAP that the owners of its shards do not make
   themselves: mark shards of lost owners, assign free shards and balance.
   Return whether MAP changed.  */
static gboolean
plan_map (struct mesh *mesh, struct shard_map *map, const GArray *candidates,
          gint64 now)
{
  gboolean changed = mark_lost (mesh, map, now);

  changed = shard_place_unowned (map, candidates, now - SESSION_WAIT_USEC)
            || changed;
  if (changed || now < mesh->next_balance_at || !is_settled (mesh, now))
    return changed;
  mesh->next_balance_at = now + BALANCE_INTERVAL_USEC;
  return shard_place_balance (map, candidates);
}

/* Propose the changes that are due in the map of SERVICE.  Return whether
   there are any.  */
static gboolean
propose_service_map (struct mesh *mesh, const char *service, gint64 now,
                     struct actions *out)
{
  const struct shard_map *known = fleet_state_map (&mesh->fleet, service);
  GArray *candidates = mesh_candidates (mesh, service, now);
  struct shard_map map;
  gboolean changed = FALSE;

  if (known != NULL)
    mesh_era_copy_map (mesh, &map, known);
  else
    {
      shard_map_init (&map, service);
      map.next_fence = MAX (map.next_fence, store_era_first_fence (mesh->era));
    }
  if (known != NULL || (candidates->len > 0 && is_settled (mesh, now)))
    changed = plan_map (mesh, &map, candidates, now);
  if (changed)
    propose_map (mesh, &map, now, out);
  else
    shard_map_clear (&map);
  g_array_free (candidates, TRUE);
  return changed;
}

/* Return whether MEMBER owns a shard of any map.  */
static gboolean
owns_any (const struct mesh *mesh, const char *member)
{
  guint i;
  guint k;

  for (i = 0; i < mesh->fleet.shard_maps->len; i++)
    {
      const struct shard_map *map
          = g_ptr_array_index (mesh->fleet.shard_maps, i);
      for (k = 0; k < map->shards->len; k++)
        if (strcmp (shard_map_at (map, k)->owner, member) == 0)
          return TRUE;
    }
  return FALSE;
}

/* Propose to drop a member that has been unresponsive for long and owns
   nothing.  Return whether there is one.  */
static gboolean
propose_drop (struct mesh *mesh, gint64 now, struct actions *out)
{
  struct handle h = table_next (&mesh->fleet.members, HANDLE_NONE);

  for (; handle_is_set (h); h = table_next (&mesh->fleet.members, h))
    {
      const struct fleet_member *member
          = fleet_state_member_at (&mesh->fleet, h);
      const struct peer_state *peer = table_get (&mesh->peers, h);
      struct fleet_record record = { .kind = FLEET_TOMBSTONE };
      char buffer[FLEET_KEY_SIZE];
      if (peer == NULL || !peer->is_unresponsive
          || now - peer_state_last_reported_at (peer) < DROP_MEMBER_USEC
          || owns_any (mesh, member->name))
        continue;
      g_snprintf (record.key, sizeof record.key, FLEET_MEMBER_PREFIX "%s",
                  fleet_key_name (member->name, buffer));
      mesh_propose (mesh, &record, mesh->fleet.applied_offset, now, out);
      return TRUE;
    }
  return FALSE;
}

/* Return whether this node proposes what is common to all nodes.  The one that
   reads the fleet's topic for all does, since the store is known to answer it;
   while none is known, the first by name of the responsive nodes.  */
static gboolean
is_planner (struct mesh *mesh, gint64 now)
{
  if (mesh_duty_is_held (mesh, READING_FLEET, now))
    return mesh_duty_holds (mesh, READING_FLEET, now);
  return mesh_rank_by_name (mesh, now) == 0;
}

/* Propose the changes that are due in all maps.  */
static void
propose_common (struct mesh *mesh, gint64 now, struct actions *out)
{
  guint i;

  if (mesh->routing == NULL || !is_planner (mesh, now)
      || mesh_session_usec (mesh, now) == 0
      || !mesh_era_is_settled (mesh, now))
    return;
  for (i = 0; i < mesh->routing->services->len; i++)
    {
      const struct route_service *service
          = &g_array_index (mesh->routing->services, struct route_service, i);
      if (service->sharded
          && propose_service_map (mesh, service->name, now, out))
        return;
    }
  if (!mesh_quarantine_propose_common (mesh, now, out))
    propose_drop (mesh, now, out);
}

/* Stop waiting for a proposal whose append has not ended in time; its map
   stays unconfirmed.  */
static void
abandon_proposal (struct mesh *mesh, gint64 now)
{
  if (!mesh->proposal.is_pending
      || now - mesh->proposal.started_at < PROPOSAL_TIMEOUT_USEC)
    return;
  mesh->proposal.is_pending = FALSE;
  fleet_record_clear (&mesh->proposal.record);
}

/* Return whether this node has yet to apply the records that made the append
   of its last map conflict.  Another map would meet the same conflict until
   then.  */
static gboolean
is_catching_up (const struct mesh *mesh, gint64 now)
{
  return mesh->fleet.applied_offset < mesh->propose_after_offset
         && now < mesh->propose_paused_until + CATCH_UP_USEC;
}

/* Propose the next record that is due; one record is appended at a time.  The
   record of this node is proposed again if a map is unconfirmed and nothing
   else is due, since a record of any kind settles whether that map stands in
   the store.  */
void
mesh_plan_step (struct mesh *mesh, gint64 now, struct actions *out)
{
  abandon_proposal (mesh, now);
  if (!mesh->initial_read_done || mesh->proposal.is_pending
      || now < mesh->propose_paused_until)
    return;
  if (mesh_propose_self (mesh, FALSE, now, out)
      || mesh_quarantine_propose_crash (mesh, now, out)
      || is_catching_up (mesh, now)
      || mesh_quarantine_propose_own (mesh, now, out)
      || mesh_era_propose (mesh, is_planner (mesh, now), now, out)
      || propose_own_shards (mesh, now, out))
    return;
  if (mesh->unconfirmed->len > 0)
    mesh_propose_self (mesh, TRUE, now, out);
  else
    propose_common (mesh, now, out);
}
