#include "mesh/mesh_parts.h"

/* Members that start together are let come in before keys are first given
   out, but no longer than the second time.  */
#define SETTLE_USEC ((gint64)700000)
#define SETTLE_MAX_USEC ((gint64)4000000)

/* A node that does not know its server yet says nothing of itself for so long
   after its start: the first beat is due by then.  */
#define UNMET_USEC ((gint64)2500000)

#define EVEN_EVERY_USEC ((gint64)1500000) /* between looks at the balance */
#define PROPOSAL_USEC ((gint64)4000000)   /* longest that one is awaited */
#define CATCH_UP_USEC ((gint64)400000)    /* to fold what was in the way */
#define FORGET_USEC ((gint64)30000000)    /* a silent member is dropped */

/* The member record */

/* What this node is to say of itself in the store.  */
static void
describe_self (struct mesh *mesh, gint64 now, struct fleet_member *member)
{
  const struct mesh_settings *settings = &mesh->settings;
  const struct grant *grant = &mesh->grant;

  memset (member, 0, sizeof *member);
  g_strlcpy (member->name, settings->name, sizeof member->name);
  g_strlcpy (member->zone, settings->zone, sizeof member->zone);
  g_strlcpy (member->service, settings->service, sizeof member->service);
  member->peer_address = settings->peer_address;
  member->incarnation = settings->incarnation;
  member->instance = grant->instance;
  member->slots = grant->slots;
  member->state = MEMBER_READY;
  if (!server_instance_is_set (&grant->instance) || grant->is_deregistered
      || grant_is_abandoned (grant, now))
    member->state = MEMBER_DOWN;
  else if (grant->is_draining)
    member->state = MEMBER_DRAINING;
}

/* Tell whether the store says of this node what MEMBER says.  */
static gboolean
is_told (struct mesh *mesh, const struct fleet_member *member)
{
  const struct fleet_member *told
      = fleet_state_member_named (&mesh->fleet, member->name);

  return told != NULL && strcmp (told->zone, member->zone) == 0
         && strcmp (told->service, member->service) == 0
         && address_equal (told->peer_address, member->peer_address)
         && told->incarnation == member->incarnation
         && server_instance_equal (&told->instance, &member->instance)
         && told->slots == member->slots && told->state == member->state;
}

/* Propose what this node says of itself, if the store says something else, or
   AGAIN.  */
static gboolean
propose_self (struct mesh *mesh, gboolean again, gint64 now,
              struct actions *out)
{
  struct fleet_record record = { .kind = FLEET_MEMBER };

  if (!server_instance_is_set (&mesh->grant.instance)
      && now - mesh->started_at < UNMET_USEC)
    return FALSE;
  describe_self (mesh, now, &record.u.member);
  if (!again && is_told (mesh, &record.u.member))
    return FALSE;
  mesh_propose (mesh, &record, APPEND_UNCONDITIONAL, now, out);
  return TRUE;
}

/* Suspects */

/* Propose the next request that was lost with the server.  */
static gboolean
propose_crash (struct mesh *mesh, gint64 now, struct actions *out)
{
  struct fleet_record record = { .kind = FLEET_SUSPECT };
  guint64 digest;

  if (mesh->crash_reports->len == 0)
    return FALSE;
  digest = g_array_index (mesh->crash_reports, guint64, 0);
  g_array_remove_index (mesh->crash_reports, 0);
  record.u.suspect.digest = digest;
  record.u.suspect.crash_count
      = fleet_state_crashes (&mesh->fleet, digest) + 1;
  mesh_propose (mesh, &record, APPEND_UNCONDITIONAL, now, out);
  return TRUE;
}

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

/* Mark the shards of MAP whose owners are lost.  */
static gboolean
mark_lost (struct mesh *mesh, struct shard_map *map, gint64 now)
{
  gboolean changed = FALSE;
  guint i;

  for (i = 0; i < map->shards->len; i++)
    {
      struct shard *shard = shard_map_at (map, i);
      if (shard->state != SHARD_HELD
          || !mesh_is_lost (
              mesh, fleet_state_find (&mesh->fleet, shard->owner), now))
        continue;
      shard->state = SHARD_LOST;
      shard->loss_id = map->next_fence++;
      shard->state_seen_at = now;
      shard->next_owner[0] = '\0';
      changed = TRUE;
    }
  return changed;
}

/* Propose what this node has to change about its own shards.  */
static gboolean
propose_duty (struct mesh *mesh, gint64 now, struct actions *out)
{
  const char *service = mesh->settings.service;
  const struct shard_map *known = fleet_state_map (&mesh->fleet, service);
  struct shard_owner shard_owner
      = { mesh->settings.name, &mesh->grant, NULL, now };
  struct shard_map map;
  GArray *holders;
  gboolean changed;

  if (known == NULL)
    return FALSE;
  holders = mesh_candidates (mesh, service, now);
  shard_owner.candidates = holders;
  shard_map_copy (&map, known);
  mesh_handoffs_apply (mesh, &map, holders, now);
  changed = shard_reconcile (&map, &shard_owner);
  if (changed)
    propose_map (mesh, &map, now, out);
  else
    shard_map_clear (&map);
  g_array_free (holders, TRUE);
  return changed;
}

/* Tell whether the members have had time to come in.  */
static gboolean
is_settled (const struct mesh *mesh, gint64 now)
{
  return now - mesh->members_changed_at >= SETTLE_USEC
         || now - mesh->started_at >= SETTLE_MAX_USEC;
}

/* Change MAP as the planner of all has to; return whether it changed.  */
static gboolean
plan (struct mesh *mesh, struct shard_map *map, const GArray *holders,
      gint64 now)
{
  gboolean changed = mark_lost (mesh, map, now);

  changed
      = shard_place_unowned (map, holders, now - SESSION_WAIT_USEC) || changed;
  if (changed || now < mesh->next_balance_at || !is_settled (mesh, now))
    return changed;
  mesh->next_balance_at = now + EVEN_EVERY_USEC;
  return shard_place_balance (map, holders);
}

/* Propose what is due in the map of SERVICE.  */
static gboolean
propose_plan (struct mesh *mesh, const char *service, gint64 now,
              struct actions *out)
{
  const struct shard_map *known = fleet_state_map (&mesh->fleet, service);
  GArray *holders = mesh_candidates (mesh, service, now);
  struct shard_map map;
  gboolean changed = FALSE;

  if (known != NULL)
    shard_map_copy (&map, known);
  else
    shard_map_init (&map, service);
  if (known != NULL || (holders->len > 0 && is_settled (mesh, now)))
    changed = plan (mesh, &map, holders, now);
  if (changed)
    propose_map (mesh, &map, now, out);
  else
    shard_map_clear (&map);
  g_array_free (holders, TRUE);
  return changed;
}

/* Tell whether any map names MEMBER.  */
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

/* Propose to drop a member that has been silent for long.  */
static gboolean
propose_drop (struct mesh *mesh, gint64 now, struct actions *out)
{
  struct handle h = table_next (&mesh->fleet.members, HANDLE_NONE);

  for (; handle_is_set (h); h = table_next (&mesh->fleet.members, h))
    {
      const struct fleet_member *member
          = fleet_state_member_at (&mesh->fleet, h);
      const struct peer_state *peer_state = table_get (&mesh->peers, h);
      struct fleet_record record = { .kind = FLEET_TOMBSTONE };
      if (peer_state == NULL || !peer_state->is_unresponsive
          || now - peer_state_last_reported_at (peer_state) < FORGET_USEC
          || owns_any (mesh, member->name))
        continue;
      g_snprintf (record.key, sizeof record.key, "member/%s", member->name);
      mesh_propose (mesh, &record, mesh->fleet.applied_offset, now, out);
      return TRUE;
    }
  return FALSE;
}

/* Propose what is due in all maps; the first of the nodes that hear each other
   does that.  */
static void
propose_for_all (struct mesh *mesh, gint64 now, struct actions *out)
{
  guint i;

  if (mesh->routing == NULL || mesh_rank_by_name (mesh, now) != 0
      || session_remaining_usec (&mesh->session, now) == 0)
    return;
  for (i = 0; i < mesh->routing->services->len; i++)
    {
      const struct route_service *service
          = &g_array_index (mesh->routing->services, struct route_service, i);
      if (service->sharded && propose_plan (mesh, service->name, now, out))
        return;
    }
  propose_drop (mesh, now, out);
}

/* Count no more on a proposal that has not ended; it stays in doubt.  */
static void
give_up_proposal (struct mesh *mesh, gint64 now)
{
  if (!mesh->proposal.is_pending
      || now - mesh->proposal.started_at < PROPOSAL_USEC)
    return;
  mesh->proposal.is_pending = FALSE;
  fleet_record_clear (&mesh->proposal.record);
}

/* Tell whether this node has yet to fold what stood in the way of its last
   map: until then another one would meet the same.  */
static gboolean
is_catching_up (const struct mesh *mesh, gint64 now)
{
  return mesh->fleet.applied_offset < mesh->propose_after_offset
         && now < mesh->propose_paused_until + CATCH_UP_USEC;
}

/* Propose what is due, one record at a time.  Any record settles what is in
   doubt.  */
void
mesh_plan_step (struct mesh *mesh, gint64 now, struct actions *out)
{
  give_up_proposal (mesh, now);
  if (!mesh->initial_read_done || mesh->proposal.is_pending
      || now < mesh->propose_paused_until)
    return;
  if (propose_self (mesh, FALSE, now, out) || propose_crash (mesh, now, out)
      || is_catching_up (mesh, now) || propose_duty (mesh, now, out))
    return;
  if (mesh->unconfirmed->len > 0)
    propose_self (mesh, TRUE, now, out);
  else
    propose_for_all (mesh, now, out);
}
