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
is_silent (const struct upstream *upstream, gint64 now)
{
  if (!upstream->watched)
    return upstream->suspected;
  return now - upstream_last_word (upstream) >= NAMED_USEC;
}

/* Tell whether neither this node nor any that it hears of has heard MEMBER of
   late.  A member that is not in the roster is lost.  */
gboolean
mesh_is_lost (struct mesh *mesh, struct handle member, gint64 now)
{
  const struct upstream *upstream = table_get (&mesh->peers, member);

  if (roster_member_at (&mesh->fleet, member) == NULL)
    return TRUE;
  return upstream != NULL && now >= upstream->vouched_until
         && is_silent (upstream, now)
         && now - upstream_last_told (upstream) >= LOST_USEC;
}

/* The map in RECORD was read.  An owner that has taken a shard up again that
   was marked lost is alive, though this node may not hear it: to mark it again
   would only take its keys out of service.  */
void
mesh_presume_alive (struct mesh *mesh, const struct shard_map *record,
                  gint64 now)
{
  const struct shard_map *known = roster_map (&mesh->fleet, record->service);
  guint i;

  for (i = 0; known != NULL && i < record->shards->len; i++)
    {
      const struct shard *shard = shard_map_at (record, i);
      const struct shard *old = shard_map_find (known, shard->first);
      struct upstream *upstream = table_get (
          &mesh->peers, roster_find (&mesh->fleet, shard->owner));
      if (upstream != NULL && shard->state == SHARD_HELD
          && old->state == SHARD_LOST && old->fence == shard->fence)
        upstream->vouched_until = now + VOUCH_USEC;
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
      const struct upstream *upstream = table_get (&mesh->peers, h);
      const struct fleet_member *member = roster_member_at (&mesh->fleet, h);
      if (member != NULL && upstream_is_heard (upstream, now)
          && !upstream->leaving && !upstream->store_lost
          && strcmp (member->name, mesh->settings.name) < 0)
        rank++;
    }
  return rank;
}

/* Say that a node is not heard any more, or is heard again.  */
static void
note_silence (struct mesh *mesh, struct handle h, struct upstream *upstream,
              gint64 now, struct actions *out)
{
  gboolean silent = is_silent (upstream, now);

  if (silent == upstream->silent)
    return;
  upstream->silent = silent;
  mesh_report_mark (upstream, now);
  mesh_log (out, LOG_EVENT_MESH_SILENT, roster_member_at (&mesh->fleet, h)->name,
             "outcome=%s heard_ms=%" G_GINT64_FORMAT
             " told_ms=%" G_GINT64_FORMAT " by=%s flying=%u",
             silent ? "silent" : "heard",
             (now - upstream_last_word (upstream)) / USEC_PER_MSEC,
             mesh_age_msec (upstream->told, now),
             upstream->watched ? "self" : "others", upstream->flying);
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
      struct upstream *upstream = table_get (&mesh->peers, h);
      upstream->neighbour = FALSE;
      upstream->called = FALSE;
    }
  for (i = 0; i < mesh->ring.count; i++)
    {
      const struct ring_neighbour *neighbour = &mesh->ring.neighbour[i];
      struct upstream *upstream
          = table_mirror (&mesh->peers, neighbour->member);
      upstream->neighbour = TRUE;
      upstream->called = neighbour->calls;
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
      const struct fleet_member *member = roster_member_at (&mesh->fleet, h);
      struct upstream *upstream;
      if (member->incarnation == mesh->settings.incarnation
          || strcmp (member->name, mesh->settings.name) == 0)
        continue;
      upstream = table_mirror (&mesh->peers, h);
      upstream_on_record (upstream, member, now);
      upstream_watch (upstream, upstream->neighbour || upstream->flying > 0,
                      now);
      note_silence (mesh, h, upstream, now, out);
    }
  h = table_next (&mesh->peers, HANDLE_NONE);
  for (; handle_is_set (h); h = table_next (&mesh->peers, h))
    if (roster_member_at (&mesh->fleet, h) == NULL)
      table_remove (&mesh->peers, h);
}
