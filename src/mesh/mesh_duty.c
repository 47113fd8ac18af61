#include "mesh/mesh_parts.h"

/* The duties of reading a topic of the store for the whole fleet: whether this
   node holds them, takes them or gives them up.  */

/* A node whose read for the spare duty failed tries again after this: the
   topic is read without it.  */
#define SPARE_RETRY_USEC ((gint64)3000000)

/* The nodes try to take a vacant duty, or to read for themselves, in an order,
   so that few have read by the time the others hear of the first answer.  The
   number of those that have tried doubles with each of these steps.  */
#define TRY_STEP_USEC ((gint64)60000)

/* Time in which a process that has read the members hears from them who holds
   the duties.  */
#define HEAR_USEC ((gint64)450000)

/* Return whether the duty of SLOT is held, as far as this node knows, by a
   node that is heard.  */
gboolean
mesh_duty_is_held (struct mesh *mesh, enum reading_slot slot, gint64 now)
{
  const struct reading_duty *duty = &mesh->duties[slot];
  const struct peer_state *peer;

  if (!reading_duty_is_held (duty, now))
    return FALSE;
  if (duty->reader == mesh->settings.incarnation)
    return TRUE;
  peer = table_get (&mesh->peers, mesh_peer_of (mesh, duty->reader));
  return peer == NULL || peer_state_is_responsive (peer, now);
}

/* Return whether this node holds the duty of SLOT.  */
gboolean
mesh_duty_holds (const struct mesh *mesh, enum reading_slot slot, gint64 now)
{
  return reading_duty_is_held_by (&mesh->duties[slot],
                                  mesh->settings.incarnation, now);
}

/* Return whether this node holds a duty of reading TOPIC.  */
gboolean
mesh_duty_holds_topic (const struct mesh *mesh, enum mesh_topic topic,
                       gint64 now)
{
  guint slot;

  for (slot = 0; slot < READING_SLOTS; slot++)
    if (reading_slot_topic (slot) == topic
        && mesh_duty_holds (mesh, slot, now))
      return TRUE;
  return FALSE;
}

/* Return whether the holder of SLOT is known to be in this node's data
   centre.  */
static gboolean
is_holder_near (struct mesh *mesh, enum reading_slot slot)
{
  const struct fleet_member *holder = fleet_state_member_at (
      &mesh->fleet, mesh_peer_of (mesh, mesh->duties[slot].reader));

  return holder != NULL && strcmp (holder->zone, mesh->settings.zone) == 0;
}

/* Return how long this node leaves it to others to try first.  The spare duty
   is better held in another data centre than the first one, since a failure
   often concerns one as a whole.  */
gint64
mesh_duty_try_delay (struct mesh *mesh, enum reading_slot slot, gint64 now)
{
  guint32 rank = mesh_rank_by_name (mesh, now);

  if (slot == READING_CONFIG_SPARE && is_holder_near (mesh, READING_CONFIG))
    rank += mesh->fleet.members.count;
  return TRY_STEP_USEC * (gint64)(g_bit_storage (rank + 1) - 1);
}

/* Return whether this node may take the duty of SLOT: it is vacant, this node
   has no other duty for the same topic, and the nodes that try first have had
   their time.  A process that has just started first hears who holds it.  */
gboolean
mesh_duty_may_take (struct mesh *mesh, enum reading_slot slot, gint64 now)
{
  const struct reading_duty *duty = &mesh->duties[slot];
  const struct read_attempt *attempt
      = &mesh->read_attempts[reading_slot_topic (slot)];

  if (mesh->stop_requested_at != 0 || !mesh->initial_read_done
      || mesh_read_leaves (mesh, now) || duty->vacant_since == 0
      || mesh_duty_is_held (mesh, slot, now)
      || now - mesh->duties_known_from < HEAR_USEC
      || mesh_duty_holds_topic (mesh, reading_slot_topic (slot), now))
    return FALSE;
  if (slot == READING_CONFIG_SPARE && attempt->no_read_until != 0
      && now - attempt->started_at < SPARE_RETRY_USEC)
    return FALSE;
  return now - duty->vacant_since >= mesh_duty_try_delay (mesh, slot, now);
}

/* Renew the duties of reading TOPIC that this node holds, since the store has
   answered its read, or take one that is vacant.  */
void
mesh_duty_renew (struct mesh *mesh, enum mesh_topic topic, gint64 now)
{
  guint slot;

  mesh->reads_answered++;
  for (slot = 0; slot < READING_SLOTS; slot++)
    if (reading_slot_topic (slot) == topic
        && (mesh_duty_holds (mesh, slot, now)
            || mesh_duty_may_take (mesh, slot, now)))
      reading_duty_renew (&mesh->duties[slot], mesh->settings.incarnation,
                          mesh->reads_answered, now);
}

/* Give up the duty of SLOT, if this node holds it.  */
static void
give_up (struct mesh *mesh, enum reading_slot slot)
{
  if (reading_duty_give_up (&mesh->duties[slot], mesh->settings.incarnation))
    mesh->duties_given_up++;
}

/* Give up the duties of reading TOPIC, since a read was not answered.  */
void
mesh_duty_give_up (struct mesh *mesh, enum mesh_topic topic)
{
  guint slot;

  for (slot = 0; slot < READING_SLOTS; slot++)
    if (reading_slot_topic (slot) == topic)
      give_up (mesh, slot);
}

/* Give up all duties, since this process is about to stop.  */
void
mesh_duty_leave (struct mesh *mesh)
{
  guint slot;

  for (slot = 0; slot < READING_SLOTS; slot++)
    give_up (mesh, slot);
}

/* Fill in what GOSSIP tells of the duties.  */
void
mesh_duty_fill_gossip (const struct mesh *mesh, struct gossip *gossip,
                       gint64 now)
{
  guint slot;

  for (slot = 0; slot < READING_SLOTS; slot++)
    gossip->claims[slot] = reading_duty_claim (&mesh->duties[slot], now);
}

/* Process what GOSSIP tells of the duties.  */
void
mesh_duty_on_gossip (struct mesh *mesh, const struct gossip *gossip,
                     gint64 now)
{
  guint slot;

  for (slot = 0; slot < READING_SLOTS; slot++)
    if (reading_duty_hear (&mesh->duties[slot], &gossip->claims[slot],
                           mesh->settings.incarnation, now))
      mesh->duties_given_up++;
}

/* Log which duties this node holds, if that has changed.  */
static void
log_part (struct mesh *mesh, gint64 now, struct actions *out)
{
  guint slot;

  for (slot = 0; slot < READING_SLOTS; slot++)
    {
      gboolean holds = mesh_duty_holds (mesh, slot, now);
      if (holds == mesh->held_duties[slot])
        continue;
      mesh->held_duties[slot] = holds;
      mesh_log (
          out, LOG_EVENT_MESH_READING, mesh->settings.name,
          "duty=%s outcome=%s given_up=%d session_age_ms"
          "=%" G_GINT64_FORMAT " config=%" G_GUINT64_FORMAT
          " config_ms=%" G_GINT64_FORMAT,
          reading_slot_name (slot), holds ? "taken" : "left",
          mesh->duties[slot].given_up,
          mesh_age_msec (mesh->freshness[MESH_TOPIC_FLEET].confirmed_at, now),
          mesh_routing_version (mesh),
          mesh_age_msec (mesh->freshness[MESH_TOPIC_CONFIG].confirmed_at,
                         now));
    }
}

/* Note which duties are vacant, and log those that this node has taken or
   left.  */
void
mesh_duty_step (struct mesh *mesh, gint64 now, struct actions *out)
{
  guint slot;

  if (mesh->initial_read_done && mesh->duties_known_from == 0)
    mesh->duties_known_from = now;
  for (slot = 0; slot < READING_SLOTS; slot++)
    reading_duty_check (&mesh->duties[slot],
                        mesh_duty_is_held (mesh, slot, now), now);
  log_part (mesh, now, out);
}
