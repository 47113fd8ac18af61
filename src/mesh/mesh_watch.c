#include "mesh/mesh_parts.h"

/* A node that nobody has heard for so long is taken to be lost.  */
#define LOST_USEC ((gint64)1500000)

/* A node that this one has not heard for so long is named in its pulses.  */
#define NAMED_USEC ((gint64)1100000)

#define VOUCH_USEC ((gint64)8000000) /* an owner is taken to be alive */

/* The last word from UPSTREAM, or when it was first looked for.  */
static gint64
last_word (const struct upstream *upstream)
{
  return MAX (upstream->heard, upstream->since);
}

/* Tell whether the node WITNESS, which this one hears, has heard MEMBER.  */
static gboolean
hears (const struct upstream *witness, struct handle member)
{
  guint i;

  for (i = 0; i < witness->silent_count; i++)
    if (handle_equal (witness->not_heard[i], member))
      return FALSE;
  return TRUE;
}

/* Tell whether neither this node nor any that it hears has heard MEMBER of
   late.  A member that is not in the roster is lost.  */
gboolean
mesh_is_lost (struct mesh *mesh, struct handle member, gint64 now)
{
  const struct fleet_member *known = roster_member_at (&mesh->roster, member);
  const struct upstream *upstream = table_get (&mesh->upstreams, member);
  struct handle h = table_next (&mesh->upstreams, HANDLE_NONE);

  if (known == NULL)
    return TRUE;
  if (upstream == NULL || now < upstream->vouched_until
      || now - last_word (upstream) < LOST_USEC)
    return FALSE;
  for (; handle_is_set (h); h = table_next (&mesh->upstreams, h))
    {
      const struct upstream *witness = table_get (&mesh->upstreams, h);
      if (!handle_equal (h, member) && witness->heard != 0
          && upstream_is_heard (witness, now) && hears (witness, member))
        return FALSE;
    }
  return TRUE;
}

/* The map in RECORD was read.  An owner that has taken a shard up again that
   was marked lost is alive, though this node may not hear it: to mark it again
   would only take its keys out of service.  */
void
mesh_watch_vouch (struct mesh *mesh, const struct shard_map *record,
                  gint64 now)
{
  const struct shard_map *known = roster_map (&mesh->roster, record->service);
  guint i;

  for (i = 0; known != NULL && i < record->shards->len; i++)
    {
      const struct shard *shard = shard_map_at (record, i);
      const struct shard *old = shard_map_find (known, shard->first);
      struct upstream *upstream = table_get (
          &mesh->upstreams, roster_find (&mesh->roster, shard->owner));
      if (upstream != NULL && shard->state == SHARD_HELD
          && old->state == SHARD_LOST && old->fence == shard->fence)
        upstream->vouched_until = now + VOUCH_USEC;
    }
}

/* How many of the nodes that are heard come before this one by name.  */
guint32
mesh_rank (struct mesh *mesh, gint64 now)
{
  struct handle h = table_next (&mesh->upstreams, HANDLE_NONE);
  guint32 rank = 0;

  for (; handle_is_set (h); h = table_next (&mesh->upstreams, h))
    {
      const struct upstream *upstream = table_get (&mesh->upstreams, h);
      const struct fleet_member *member = roster_member_at (&mesh->roster, h);
      if (member != NULL && upstream->heard != 0
          && upstream_is_heard (upstream, now) && !upstream->leaving
          && !upstream->store_lost
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
  gboolean silent = now - last_word (upstream) >= NAMED_USEC;

  if (silent == upstream->silent)
    return;
  upstream->silent = silent;
  mesh_note (out, NOTE_MESH_SILENT, roster_member_at (&mesh->roster, h)->name,
             "outcome=%s heard_ms=%" G_GINT64_FORMAT " flying=%u",
             silent ? "silent" : "heard",
             (now - last_word (upstream)) / USEC_PER_MSEC, upstream->flying);
}

/* Look at all members: those that are new are watched from now on, those that
   are gone no more.  */
void
mesh_watch_step (struct mesh *mesh, gint64 now, struct actions *out)
{
  struct handle h = table_next (&mesh->roster.members, HANDLE_NONE);

  for (; handle_is_set (h); h = table_next (&mesh->roster.members, h))
    {
      const struct fleet_member *member = roster_member_at (&mesh->roster, h);
      struct upstream *upstream;
      if (strcmp (member->name, mesh->settings.name) == 0)
        continue;
      upstream = table_mirror (&mesh->upstreams, h);
      if (upstream->since == 0)
        upstream->since = now;
      note_silence (mesh, h, upstream, now, out);
    }
  h = table_next (&mesh->upstreams, HANDLE_NONE);
  for (; handle_is_set (h); h = table_next (&mesh->upstreams, h))
    if (roster_member_at (&mesh->roster, h) == NULL)
      table_remove (&mesh->upstreams, h);
}
