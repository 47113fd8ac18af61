#ifndef TESTS_READING_SIM_H
#define TESTS_READING_SIM_H

#include "tests/reading_sim_check.h"
#include "tests/suite.h"

/* A simulation of a fleet of nodes that read a store and tell one another what
   they read, under scripted time.  The store can leave any of them without an
   answer, or refuse them.  The simulation checks how soon each version of the
   configuration is in force at the nodes, and what a node says that lacks
   one.  */

/* Start, end or fail the long poll of node I on TOPIC.  */
static inline void
reading_step_poll (struct reading_sim *sim, guint i, enum mesh_topic topic)
{
  struct reading_node *node = &sim->nodes[i];
  struct reading_poll *poll = &node->polls[topic];
  gint64 delay = 0;
  struct reading_message message = { .kind = READING_RESULT,
                                     .from = i,
                                     .process = node->process,
                                     .topic = topic,
                                     .is_poll = TRUE,
                                     .end = sim->fleet->len,
                                     .version = reading_newest (sim),
                                     .evacuations = sim->evacuated->len };
  gboolean has_more
      = topic == MESH_TOPIC_FLEET
            ? node->mesh.fleet.applied_offset < sim->fleet->len
            : mesh_routing_version (&node->mesh) < reading_newest (sim)
                  || node->mesh.evacuations.zones.offset
                         < reading_operator_end (reading_newest (sim),
                                                 sim->evacuated->len);
  gboolean reads = topic == MESH_TOPIC_FLEET
                       ? mesh_reads_fleet (&node->mesh, sim->now)
                       : mesh_reads_config (&node->mesh, sim->now);

  if (!poll->pending && reads && sim->now >= poll->paused_until)
    {
      *poll = (struct reading_poll){ .pending = TRUE, .started_at = sim->now };
      sim->reads++;
    }
  if (!poll->pending)
    return;
  poll->dead = poll->dead || node->service != READING_SERVED;
  message.started_at = poll->started_at;
  if (node->service == READING_REFUSED
      || (poll->dead && sim->now - poll->started_at >= POLL_FAILS_USEC))
    message.code = ERR_UNAVAILABLE;
  else if (poll->dead || !has_more)
    return;
  poll->paused_until = sim->now + 120 * MSEC;
  if (message.code == ERR_NONE)
    delay = sim->store_delay_usec;
  if (message.code == ERR_NONE && topic == MESH_TOPIC_CONFIG
      && message.version > mesh_routing_version (&node->mesh))
    delay += reading_transfer_usec (sim, NULL, node, sim->stored_bytes);
  reading_send (sim, &message, delay);
  poll->pending = FALSE;
}

/* Start the process of node I.  */
static inline void
reading_start (struct reading_sim *sim, guint i)
{
  struct reading_node *node = &sim->nodes[i];
  struct mesh_settings settings = { .heartbeat_usec = 900 * MSEC,
                                    .max_grant_usec = 10000 * MSEC,
                                    .drain_limit_usec = 2000 * MSEC,
                                    .config_apply_usec = APPLY_BOUND_USEC,
                                    .evacuate_usec = 5000 * MSEC,
                                    .stop_grace_usec = 6000 * MSEC };

  node->process++;
  g_strlcpy (settings.name, reading_name (i), sizeof settings.name);
  g_snprintf (settings.zone, sizeof settings.zone, "z%u",
              i * READING_ZONES / READING_NODES);
  g_strlcpy (settings.service, "s", sizeof settings.service);
  settings.peer_address.port = (guint16)i;
  settings.incarnation = reading_incarnation (sim, i);
  memset (node->polls, 0, sizeof node->polls);
  mesh_init (&node->mesh, &settings, sim->now);
  node->is_up = TRUE;
  node->frozen_until = 0;
  node->disturbed_at = sim->now;
  reading_add_record (sim, &i);
}

/* Kill the process of node I.  */
static inline void
reading_kill (struct reading_sim *sim, guint i)
{
  if (sim->nodes[i].is_up)
    mesh_clear (&sim->nodes[i].mesh);
  sim->nodes[i].is_up = FALSE;
}

/* Ask the process of node I to stop.  */
static inline void
reading_stop (struct reading_sim *sim, guint i)
{
  struct event event = { .kind = EVENT_DRAIN };

  reading_feed (sim, i, &event);
}

/* Have the last node that the store serves append a record of the fleet.  An
   append at the end of the topic shows its node that there is nothing newer.
 */
static inline void
reading_append (struct reading_sim *sim)
{
  guint i = READING_NODES;

  while (i-- > 0)
    if (sim->nodes[i].is_up && sim->nodes[i].service == READING_SERVED
        && sim->now >= sim->nodes[i].frozen_until)
      {
        reading_add_record (sim, NULL);
        reading_give_fleet (sim, i, sim->fleet->len, TRUE, sim->now);
        return;
      }
}

/* Advance all nodes by one step.  */
static inline void
reading_step (struct reading_sim *sim)
{
  struct event tick = { .kind = EVENT_TICK };
  guint i;

  sim->now += READING_STEP_USEC;
  if (sim->now >= sim->next_record_at)
    {
      reading_append (sim);
      sim->next_record_at = sim->now + RECORD_EVERY_USEC;
    }
  reading_deliver_due (sim);
  for (i = 0; i < READING_NODES; i++)
    {
      if (sim->nodes[i].is_up && sim->nodes[i].mesh.exit_requested)
        reading_kill (sim, i);
      if (!sim->nodes[i].is_up)
        continue;
      reading_feed (sim, i, &tick);
      reading_step_poll (sim, i, MESH_TOPIC_FLEET);
      reading_step_poll (sim, i, MESH_TOPIC_CONFIG);
    }
  for (i = 0; i < READING_NODES; i++)
    reading_check (sim, i);
}

/* Let USEC pass.  */
static inline void
reading_run (struct reading_sim *sim, gint64 usec)
{
  gint64 until = sim->now + usec;

  while (sim->now < until)
    reading_step (sim);
}

/* Have the operator write another version.  */
static inline void
reading_write (struct reading_sim *sim)
{
  g_array_append_val (sim->acked, sim->now);
}

/* Have the operator evacuate a data centre, or end that if it is
   evacuated.  */
static inline void
reading_evacuate (struct reading_sim *sim)
{
  g_array_append_val (sim->evacuated, sim->now);
}

/* Have the operator write COUNT versions, GAP_USEC apart.  */
static inline void
reading_write_series (struct reading_sim *sim, guint count, gint64 gap_usec)
{
  guint k;

  for (k = 0; k < count; k++)
    {
      reading_write (sim);
      reading_run (sim, gap_usec);
    }
}

/* Have the store treat nodes FIRST to LAST as SERVICE says.  */
static inline void
reading_serve (struct reading_sim *sim, guint first, guint last,
               enum reading_service service)
{
  guint i;

  for (i = first; i <= last; i++)
    sim->nodes[i].service = service;
}

/* Return the node that holds the duty of SLOT, READING_NODES if none does.  */
static inline guint
reading_holder (struct reading_sim *sim, enum reading_slot slot)
{
  guint i;

  for (i = 0; i < READING_NODES; i++)
    if (sim->nodes[i].is_up
        && mesh_duty_holds (&sim->nodes[i].mesh, slot, sim->now))
      return i;
  return READING_NODES;
}

/* Return how many nodes hold the duty of SLOT.  */
static inline guint
reading_holder_count (struct reading_sim *sim, enum reading_slot slot)
{
  guint count = 0;
  guint i;

  for (i = 0; i < READING_NODES; i++)
    count += sim->nodes[i].is_up
             && mesh_duty_holds (&sim->nodes[i].mesh, slot, sim->now);
  return count;
}

/* Return a fleet that has read the first configuration and is calm.  */
static inline struct reading_sim *
reading_sim_new (void)
{
  struct reading_sim *sim = g_new0 (struct reading_sim, 1);
  guint i;

  sim->messages = g_array_new (FALSE, TRUE, sizeof (struct reading_message));
  sim->acked = g_array_new (FALSE, TRUE, sizeof (gint64));
  sim->evacuated = g_array_new (FALSE, TRUE, sizeof (gint64));
  sim->fleet = g_array_new (FALSE, TRUE, sizeof (struct reading_record));
  sim->now = 100000 * MSEC;
  sim->store_delay_usec = STORE_DELAY_USEC;

  sim->next_record_at = sim->now;
  reading_write (sim);
  for (i = 0; i < READING_NODES; i++)
    reading_start (sim, i);
  reading_run (sim, 8000 * MSEC);
  return sim;
}

/* Free SIM.  */
static inline void
reading_sim_free (struct reading_sim *sim)
{
  guint i;

  for (i = 0; i < READING_NODES; i++)
    reading_kill (sim, i);
  g_array_free (sim->messages, TRUE);
  g_array_free (sim->acked, TRUE);
  g_array_free (sim->evacuated, TRUE);
  g_array_free (sim->fleet, TRUE);
  g_free (sim);
}

/* Check that each version came into force in time, and that no node denied a
   route without knowing.  Free SIM.  */
static inline void
reading_check_in_force (struct reading_sim *sim)
{
  CU_ASSERT_EQUAL (sim->late_count, 0);
  CU_ASSERT_EQUAL (sim->false_count, 0);
  if (g_getenv ("READING_VERBOSE") != NULL)
    g_printerr ("evacuation %d ms, worst %d ms, late %u, false %u, reads %u\n",
                (int)(sim->worst_evacuation_usec / MSEC),
                (int)(sim->worst_usec / MSEC), sim->late_count,
                sim->false_count, sim->reads);
  reading_sim_free (sim);
}

#endif
