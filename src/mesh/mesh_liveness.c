#include "mesh/mesh_parts.h"

/* A node that nobody has heard for so long is taken to be lost.  It is longer
   than the time after which a node is named silent by what it takes those who
   do hear it to say so.  */
#define LOST_USEC ((gint64)1700000)

/* A node that has not been heard for so long is named as silent.  */
#define NAMED_USEC ((gint64)1000000)

#define VOUCH_USEC ((gint64)8000000) /* an owner is taken to be alive */

/* Tell whether UPSTREAM is silent: this node waits for a word from it in vain,
   or others do.  */
static gboolean
is_silent (const struct peer_state *peer_state, gint64 now)
{
  if (!peer_state->is_watched)
    return peer_state->reported_unresponsive;
  return now - peer_state_last_message_at (peer_state) >= NAMED_USEC;
}

/* Tell whether neither this node nor any that it hears of has heard MEMBER of
   late.  A member that is not in the roster is lost.  */
gboolean
mesh_is_lost (struct mesh *mesh, struct handle member, gint64 now)
{
  const struct peer_state *peer_state = table_get (&mesh->peers, member);

  if (fleet_state_member_at (&mesh->fleet, member) == NULL)
    return TRUE;
  return peer_state != NULL && now >= peer_state->presumed_alive_until
         && is_silent (peer_state, now)
         && now - peer_state_last_reported_at (peer_state) >= LOST_USEC;
}

/* The map in RECORD was read.  An owner that has taken a shard up again that
   was marked lost is alive, though this node may not hear it: to mark it again
   would only take its keys out of service.  */
void
mesh_presume_alive (struct mesh *mesh, const struct shard_map *record,
                    gint64 now)
{
  const struct shard_map *known
      = fleet_state_map (&mesh->fleet, record->service);
  guint i;

  for (i = 0; known != NULL && i < record->shards->len; i++)
    {
      const struct shard *shard = shard_map_at (record, i);
      const struct shard *old = shard_map_find (known, shard->first);
      struct peer_state *peer_state = table_get (
          &mesh->peers, fleet_state_find (&mesh->fleet, shard->owner));
      if (peer_state != NULL && shard->state == SHARD_HELD
          && old->state == SHARD_LOST && old->fence == shard->fence)
        peer_state->presumed_alive_until = now + VOUCH_USEC;
    }
}

/* How many of the nodes that are heard come before this one by name.  */
guint32
mesh_rank_by_name (struct mesh *mesh, gint64 now)
{
  struct handle h = table_next (&mesh->peers, HANDLE_NONE);
  guint32 rank = 0;

  for (; handle_is_set (h); h = table_next (&mesh->peers, h))
    {
      const struct peer_state *peer_state = table_get (&mesh->peers, h);
      const struct fleet_member *member
          = fleet_state_member_at (&mesh->fleet, h);
      if (member != NULL && peer_state_is_responsive (peer_state, now)
          && !peer_state->is_leaving && !peer_state->store_lost
          && strcmp (member->name, mesh->settings.name) < 0)
        rank++;
    }
  return rank;
}

/* Say that a node is not heard any more, or is heard again.  */
static void
note_silence (struct mesh *mesh, struct handle h,
              struct peer_state *peer_state, gint64 now, struct actions *out)
{
  gboolean silent = is_silent (peer_state, now);

  if (silent == peer_state->is_unresponsive)
    return;
  peer_state->is_unresponsive = silent;
  mesh_report_mark (peer_state, now);
  mesh_log (out, LOG_EVENT_MESH_SILENT,
            fleet_state_member_at (&mesh->fleet, h)->name,
            "outcome=%s heard_ms=%" G_GINT64_FORMAT
            " told_ms=%" G_GINT64_FORMAT " by=%s flying=%u",
            silent ? "silent" : "heard",
            (now - peer_state_last_message_at (peer_state)) / USEC_PER_MSEC,
            mesh_age_msec (peer_state->last_reported_at, now),
            peer_state->is_watched ? "self" : "others", peer_state->in_flight);
}

/* Take over who the neighbours on the ring are, if they are others now.  */
static void
take_ring (struct mesh *mesh)
{
  struct handle h = table_next (&mesh->peers, HANDLE_NONE);
  guint32 i;

  if (!ring_update (&mesh->ring, &mesh->fleet, mesh->settings.name))
    return;
  for (; handle_is_set (h); h = table_next (&mesh->peers, h))
    {
      struct peer_state *peer_state = table_get (&mesh->peers, h);
      peer_state->is_neighbour = FALSE;
      peer_state->is_gossip_target = FALSE;
    }
  for (i = 0; i < mesh->ring.neighbour_count; i++)
    {
      const struct ring_neighbour *neighbour = &mesh->ring.neighbours[i];
      struct peer_state *peer_state
          = table_mirror (&mesh->peers, neighbour->member);
      peer_state->is_neighbour = TRUE;
      peer_state->is_gossip_target = neighbour->is_called;
    }
}

/* Look at all members: those that are new are known from now on, those that
   are gone no more.  Watched are the neighbours on the ring and whoever has a
   request from here.  */
void
mesh_liveness_step (struct mesh *mesh, gint64 now, struct actions *out)
{
  struct handle h = table_next (&mesh->fleet.members, HANDLE_NONE);

  take_ring (mesh);
  for (; handle_is_set (h); h = table_next (&mesh->fleet.members, h))
    {
      const struct fleet_member *member
          = fleet_state_member_at (&mesh->fleet, h);
      struct peer_state *peer_state;
      if (member->incarnation == mesh->settings.incarnation
          || strcmp (member->name, mesh->settings.name) == 0)
        continue;
      peer_state = table_mirror (&mesh->peers, h);
      peer_state_on_record (peer_state, member, now);
      peer_state_set_watched (
          peer_state, peer_state->is_neighbour || peer_state->in_flight > 0,
          now);
      note_silence (mesh, h, peer_state, now, out);
    }
  h = table_next (&mesh->peers, HANDLE_NONE);
  for (; handle_is_set (h); h = table_next (&mesh->peers, h))
    if (fleet_state_member_at (&mesh->fleet, h) == NULL)
      table_remove (&mesh->peers, h);
}
