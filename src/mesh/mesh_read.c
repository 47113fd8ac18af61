#include "mesh/mesh_parts.h"

/* Decides when this node reads the topics of the store, and which it follows.
   The nodes that hold the duty of reading a topic follow it and read it to its
   end at short intervals; the others learn from gossip that there is something
   new, and fetch it from the node that sent it.  If a duty is vacant, or if
   gossip does not show that this node's own copy is recent, the node reads for
   itself.  */

/* Time between reads to the end of a topic, by slot.  */
#define FLEET_INTERVAL_USEC ((gint64)1000000)
#define CONFIG_INTERVAL_USEC ((gint64)800000)
#define CONFIG_SPARE_INTERVAL_USEC ((gint64)1600000)

/* A read that is not answered by then counts as failed.  Its answer is still
   used if it comes.  */
#define ANSWER_DUE_USEC ((gint64)350000)
#define RETRY_USEC ((gint64)900000)        /* from a failed read to the next */
#define MIN_INTERVAL_USEC ((gint64)500000) /* between reads of a topic */

/* A node whose own copy of a topic is older than this reads for itself.  */
#define FLEET_STALE_USEC ((gint64)2200000)
#define CONFIG_STALE_USEC ((gint64)1800000)

/* A node that has known of a newer configuration for this long, and has not
   got it from those that have it, reads for itself.  */
#define BEHIND_USEC ((gint64)1000000)
#define BEHIND_INTERVAL_USEC ((gint64)2000000) /* between such reads */

/* A node that the store did not answer tries again after this, though others
   read for it: what it takes part in depends on whether the store answers
   it.  */
#define LOST_INTERVAL_USEC ((gint64)2000000)

/* A node without a configuration this long after its start follows the
   operator's topic, though others do too.  */
#define NO_CONFIG_USEC ((gint64)3500000)

#define FIRST_MEMBERS 2u /* nodes that read while a fleet starts */

/* Return whether this node, having just started, leaves reading to others.  A
   fleet that starts finds the topic empty.  If each node took itself for the
   first by name until it knows other members, each would read each record.  So
   only the nodes whose own records are among the first go on reading; the
   others wait to be called by them.  */
gboolean
mesh_read_leaves (const struct mesh *mesh, gint64 now)
{
  const struct fleet_member *self
      = fleet_state_member_named (&mesh->fleet, mesh->settings.name);

  if (!mesh->initial_read_done || now - mesh->started_at >= NO_CONFIG_USEC
      || mesh->fleet.members.count > 1)
    return FALSE;
  return self == NULL || self->store_offset >= FIRST_MEMBERS;
}

/* Process a read of TOPIC that failed or was not answered in time.  */
static void
on_failure (struct mesh *mesh, enum mesh_topic topic, gint64 now)
{
  struct read_attempt *attempt = &mesh->read_attempts[topic];

  attempt->is_pending = FALSE;
  attempt->no_read_until = now + RETRY_USEC;
  mesh_duty_give_up (mesh, topic);
}

/* Process a read of TOPIC that the store answered.  */
static void
on_success (struct mesh *mesh, enum mesh_topic topic, gint64 now)
{
  struct read_attempt *attempt = &mesh->read_attempts[topic];

  attempt->is_pending = FALSE;
  attempt->no_read_until = 0;
  mesh_duty_renew (mesh, topic, now);
}

/* Process EVENT, the end of a read by this node.  */
void
mesh_read_ended (struct mesh *mesh, const struct event_topic_read *event,
                 gint64 now, struct actions *out)
{
  gboolean failed = event->code != ERR_NONE;

  if (failed)
    on_failure (mesh, event->topic, now);
  else
    on_success (mesh, event->topic, now);
  if (event->topic == MESH_TOPIC_CONFIG && event->at_end
      && mesh->routing != NULL)
    {
      freshness_confirm (&mesh->freshness[MESH_TOPIC_CONFIG],
                         event->started_at, mesh->settings.incarnation);
      mesh_newest_confirmed (mesh, event->started_at, now, out);
      mesh_routing_check (mesh, now);
    }
  if (event->topic == MESH_TOPIC_FLEET)
    mesh_store_answers (mesh, !failed, now, out);
}

/* When to read */

/* Return the time between reads by the holder of SLOT.  */
static gint64
interval_usec (enum reading_slot slot)
{
  switch (slot)
    {
    case READING_FLEET:
      return FLEET_INTERVAL_USEC;
    case READING_CONFIG:
      return CONFIG_INTERVAL_USEC;
    case READING_CONFIG_SPARE:
      return CONFIG_SPARE_INTERVAL_USEC;
    }
  return FLEET_INTERVAL_USEC;
}

/* Return whether this node is to read for the duty of SLOT: to renew it, or to
   take it.  */
static gboolean
is_due_by_duty (struct mesh *mesh, enum reading_slot slot, gint64 now)
{
  const struct reading_duty *duty = &mesh->duties[slot];
  gint64 age
      = freshness_age_usec (&mesh->freshness[reading_slot_topic (slot)], now);

  if (mesh_duty_holds (mesh, slot, now))
    return MAX (age, now - duty->renewed_at) >= interval_usec (slot);
  return mesh_duty_may_take (mesh, slot, now);
}

/* Return whether this node is to read TOPIC for its own copy, which may be
   old.  */
static gboolean
is_due_by_age (struct mesh *mesh, enum mesh_topic topic, gint64 now)
{
  gint64 age = freshness_age_usec (&mesh->freshness[topic], now);
  gint64 stale_usec
      = topic == MESH_TOPIC_FLEET ? FLEET_STALE_USEC : CONFIG_STALE_USEC;

  return age < 0
         || age >= stale_usec + mesh_duty_try_delay (mesh, READING_FLEET, now);
}

/* Return whether this node is to read the operator's topic since it has not
   got a newer configuration from other nodes.  What another node tells of may
   not be in the store, so such reads are rare.  */
static gboolean
is_due_by_lag (struct mesh *mesh, gint64 now)
{
  gint64 behind_since = mesh->newest_config.behind_since;
  gint64 read_at = mesh->read_attempts[MESH_TOPIC_CONFIG].started_at;

  return behind_since != 0 && now - read_at >= BEHIND_INTERVAL_USEC
         && now - behind_since
                >= BEHIND_USEC
                       + mesh_duty_try_delay (mesh, READING_FLEET, now);
}

/* Return whether this node is to read TOPIC now.  */
static gboolean
is_due (struct mesh *mesh, enum mesh_topic topic, gint64 now)
{
  const struct read_attempt *attempt = &mesh->read_attempts[topic];
  guint slot;

  if (!mesh->initial_read_done || mesh_read_leaves (mesh, now)
      || attempt->is_pending || now < attempt->no_read_until
      || now - attempt->started_at < MIN_INTERVAL_USEC)
    return FALSE;
  for (slot = 0; slot < READING_SLOTS; slot++)
    if (reading_slot_topic (slot) == topic && is_due_by_duty (mesh, slot, now))
      return TRUE;
  return is_due_by_age (mesh, topic, now)
         || (topic == MESH_TOPIC_CONFIG && is_due_by_lag (mesh, now))
         || (topic == MESH_TOPIC_FLEET && mesh->store_lost
             && now - attempt->started_at >= LOST_INTERVAL_USEC);
}

/* Read TOPIC to its end.  Where another node is known to have a newer
   configuration, the ones before the newest are left out.  */
void
mesh_read_start (struct mesh *mesh, enum mesh_topic topic, gint64 now,
                 struct actions *out)
{
  struct read_attempt *attempt = &mesh->read_attempts[topic];
  struct action_read_topic *action
      = &actions_add (out, ACTION_READ_TOPIC)->u.read_topic;

  attempt->started_at = now;
  attempt->is_pending = TRUE;
  action->topic = topic;
  action->newest_only
      = topic == MESH_TOPIC_CONFIG && mesh_routing_is_outdated (mesh);
}

/* Start the reads that are due, and give up duties whose reads were not
   answered in time.  */
void
mesh_read_step (struct mesh *mesh, gint64 now, struct actions *out)
{
  static const enum mesh_topic topics[]
      = { MESH_TOPIC_FLEET, MESH_TOPIC_CONFIG };
  guint i;

  mesh_duty_step (mesh, now, out);
  for (i = 0; i < G_N_ELEMENTS (topics); i++)
    {
      const struct read_attempt *attempt = &mesh->read_attempts[topics[i]];
      if (attempt->is_pending && now - attempt->started_at >= ANSWER_DUE_USEC)
        on_failure (mesh, topics[i], now);
      if (is_due (mesh, topics[i], now))
        mesh_read_start (mesh, topics[i], now, out);
    }
}

/* Return whether this node follows TOPIC.  */
static gboolean
follows (const struct mesh *mesh, enum mesh_topic topic, gint64 now)
{
  return !mesh_read_leaves (mesh, now)
         && (!mesh->initial_read_done
             || mesh_duty_holds_topic (mesh, topic, now));
}

/* Return whether this node follows the fleet's topic.  */
gboolean
mesh_reads_fleet (struct mesh *mesh, gint64 now)
{
  return follows (mesh, MESH_TOPIC_FLEET, now);
}

/* Return whether this node follows the operator's topic.  */
gboolean
mesh_reads_config (struct mesh *mesh, gint64 now)
{
  return (mesh->routing == NULL && now - mesh->started_at >= NO_CONFIG_USEC)
         || follows (mesh, MESH_TOPIC_CONFIG, now);
}
