#include "mesh/mesh_parts.h"

/* A node from which no node has got a message for this long is presumed lost.
   The time exceeds UNRESPONSIVE_USEC, so that nodes that still get messages
   from the node have time to report so.  */
#define LOST_USEC ((gint64)1700000)

/* A node that has sent no message for this long is reported as
   unresponsive.  */
#define UNRESPONSIVE_USEC ((gint64)1000000)

/* An owner that holds a shard again that was marked lost is presumed alive for
   this long.  */
#define PRESUMED_ALIVE_USEC ((gint64)8000000)

/* A rank by name is counted anew after this time.  */
#define RANK_USEC ((gint64)20000)

/* Return whether PEER is unresponsive: this node watches it and got no message
   recently, or others report so.  */
static gboolean
is_unresponsive (const struct peer_state *peer, gint64 now)
{
  if (!peer->is_watched)
    return peer->reported_unresponsive;
  return now - peer_state_last_message_at (peer) >= UNRESPONSIVE_USEC;
}

/* Return whether neither this node nor any other, as far as this one knows,
   has got a message from MEMBER recently.  A member without a record is
   lost.  */
gboolean
mesh_is_lost (struct mesh *mesh, struct handle member, gint64 now)
{
  const struct peer_state *peer = table_get (&mesh->peers, member);

  if (fleet_state_member_at (&mesh->fleet, member) == NULL)
    return TRUE;
  return peer != NULL && now >= peer->presumed_alive_until
         && is_unresponsive (peer, now)
         && now - peer_state_last_reported_at (peer) >= LOST_USEC;
}

/* Presume alive those owners in RECORD, a map that was read, that hold a shard
   again that was marked lost.  This node may get no messages from such an
   owner, but marking its shards again would only take their keys out of
   service.  */
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
      struct peer_state *peer = table_get (
          &mesh->peers, fleet_state_find (&mesh->fleet, shard->owner));
      if (peer != NULL && shard->state == SHARD_HELD
          && old->state == SHARD_LOST && old->fence == shard->fence)
        peer->presumed_alive_until = now + PRESUMED_ALIVE_USEC;
    }
}

/* Return how many of the responsive nodes come before this one by name.  */
static guint32
count_rank (struct mesh *mesh, gint64 now)
{
  struct handle h = table_next (&mesh->peers, HANDLE_NONE);
  guint32 rank = 0;

  for (; handle_is_set (h); h = table_next (&mesh->peers, h))
    {
      const struct peer_state *peer = table_get (&mesh->peers, h);
      const struct fleet_member *member
          = fleet_state_member_at (&mesh->fleet, h);
      if (member != NULL && peer_state_is_responsive (peer, now)
          && !peer->is_leaving && !peer->store_lost
          && strcmp (member->name, mesh->settings.name) < 0)
        rank++;
    }
  return rank;
}

/* Return how many of the responsive nodes come before this one by name, as of
   RANK_USEC ago at most.  */
guint32
mesh_rank_by_name (struct mesh *mesh, gint64 now)
{
  if (mesh->rank_at == 0 || now - mesh->rank_at >= RANK_USEC)
    {
      mesh->rank = count_rank (mesh, now);
      mesh->rank_at = now;
    }
  return mesh->rank;
}

/* Update whether PEER, the member H, is unresponsive; log and report a
   change.  */
static void
log_responsiveness (struct mesh *mesh, struct handle h,
                    struct peer_state *peer, gint64 now, struct actions *out)
{
  gboolean unresponsive = is_unresponsive (peer, now);

  if (unresponsive == peer->is_unresponsive)
    return;
  peer->is_unresponsive = unresponsive;
  mesh->rank_at = 0;
  mesh_report_mark (peer, now);
  mesh_log (out, LOG_EVENT_MESH_SILENT,
            fleet_state_member_at (&mesh->fleet, h)->name,
            "outcome=%s heard_ms=%" G_GINT64_FORMAT
            " told_ms=%" G_GINT64_FORMAT " by=%s flying=%u",
            unresponsive ? "silent" : "heard",
            (now - peer_state_last_message_at (peer)) / USEC_PER_MSEC,
            mesh_age_msec (peer->last_reported_at, now),
            peer->is_watched ? "self" : "others", peer->in_flight);
}

/* Update which peers are neighbours on the ring, if the ring has changed.  */
static void
update_ring (struct mesh *mesh)
{
  struct handle h = table_next (&mesh->peers, HANDLE_NONE);
  guint32 i;

  if (!ring_update (&mesh->ring, &mesh->fleet, mesh->settings.name))
    return;
  for (; handle_is_set (h); h = table_next (&mesh->peers, h))
    {
      struct peer_state *peer = table_get (&mesh->peers, h);
      peer->is_neighbour = FALSE;
      peer->is_gossip_target = FALSE;
    }
  for (i = 0; i < mesh->ring.neighbour_count; i++)
    {
      const struct ring_neighbour *neighbour = &mesh->ring.neighbours[i];
      struct peer_state *peer = table_mirror (&mesh->peers, neighbour->member);
      peer->is_neighbour = TRUE;
      peer->is_gossip_target = neighbour->is_called;
    }
}

/* Update the states of the peers from the members: add new ones and remove
   those that are gone.  Neighbours on the ring and peers with requests from
   here are watched.  */
void
mesh_liveness_step (struct mesh *mesh, gint64 now, struct actions *out)
{
  struct handle h = table_next (&mesh->fleet.members, HANDLE_NONE);

  update_ring (mesh);
  for (; handle_is_set (h); h = table_next (&mesh->fleet.members, h))
    {
      const struct fleet_member *member
          = fleet_state_member_at (&mesh->fleet, h);
      struct peer_state *peer;
      if (member->incarnation == mesh->settings.incarnation
          || strcmp (member->name, mesh->settings.name) == 0)
        continue;
      peer = table_mirror (&mesh->peers, h);
      peer_state_on_record (peer, member, now);
      peer_state_set_watched (peer, peer->is_neighbour || peer->in_flight > 0,
                              now);
      log_responsiveness (mesh, h, peer, now, out);
    }
  h = table_next (&mesh->peers, HANDLE_NONE);
  for (; handle_is_set (h); h = table_next (&mesh->peers, h))
    if (fleet_state_member_at (&mesh->fleet, h) == NULL)
      table_remove (&mesh->peers, h);
}
