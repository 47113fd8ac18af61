#ifndef TESTS_MESH_SIM_EVACUATION_H
#define TESTS_MESH_SIM_EVACUATION_H

#include "mesh/mesh_parts.h"
#include "tests/mesh_sim_send.h"

/* Evacuations in a simulation of mesh nodes: the operator's topic, and the
   check that evacuated servers are not served.  */

#define CHECKED_KEY_EVERY 97u /* keys from one that is checked to the next */

/* The operator's topic */

/* Have the operator evacuate data centre ZONE, or end that if IS_CANCELLED.
   The store acknowledges it at once.  */
static inline void
sim_evacuate (struct sim *sim, guint zone, gboolean is_cancelled)
{
  struct evacuation record
      = { .offset = sim->evacuations->len + 1, .is_cancelled = is_cancelled };

  g_strlcpy (record.zone, sim_zone_name (zone), sizeof record.zone);
  g_array_append_val (sim->evacuations, record);
  if (is_cancelled)
    sim->evacuated_at[zone] = 0;
  else if (sim->evacuated_at[zone] == 0)
    sim->evacuated_at[zone] = sim->now;
}

/* Have node I, which follows the operator's topic, read it now and then.  */
static inline void
follow_operator (struct sim *sim, guint i)
{
  struct sim_node *node = &sim->nodes[i];
  struct sim_message read = { .kind = SIM_READ_OPERATOR,
                              .from = i,
                              .process_number = node->process_number,
                              .started_at = sim->now };

  if (node->is_up && mesh_reads_config (&node->mesh, sim->now)
      && g_rand_int_range (sim->operator_random, 0, 12) == 0)
    send_message (sim, &read, draw_operator_msec (sim, 3, 30));
}

/* Answer the read of the operator's topic in MESSAGE.  */
static inline void
on_read_operator (struct sim *sim, const struct sim_message *message)
{
  struct sim_message back = *message;

  if (!reaches_store (sim, message->from))
    return;
  back.kind = SIM_EVACUATIONS;
  back.offset = sim->evacuations->len;
  send_message (sim, &back, draw_operator_msec (sim, 3, 100));
}

/* Give the result of the read in MESSAGE to its node: a listing of the newest
   record of each data centre.  A record without a value may be deleted, and is
   not listed.  */
static inline void
on_evacuations (struct sim *sim, const struct sim_message *message)
{
  struct event event = { .kind = EVENT_EVACUATIONS };
  struct event read
      = { .kind = EVENT_TOPIC_READ,
          .u.topic_read = { .topic = MESH_TOPIC_CONFIG, .at_end = TRUE } };
  struct evacuation listed[SIM_ZONES];
  guint zone;

  for (zone = 0; zone < SIM_ZONES; zone++)
    {
      const struct evacuation *newest = NULL;
      guint i;
      for (i = 0; i < message->offset; i++)
        {
          const struct evacuation *item
              = &g_array_index (sim->evacuations, struct evacuation, i);
          if (strcmp (item->zone, sim_zone_name (zone)) == 0)
            newest = item;
        }
      if (newest != NULL && !newest->is_cancelled)
        listed[event.u.evacuations.count++] = *newest;
    }
  event.u.evacuations.items = listed;
  event.u.evacuations.is_listing = TRUE;
  event.u.evacuations.next_offset = message->offset + 1;
  feed_node (sim, message->from, &event);
  read.u.topic_read.started_at = message->started_at;
  feed_node (sim, message->from, &read);
}

/* Check */

/* Return whether node I would send its server a request for KEY now.  */
static inline gboolean
serves_key (const struct sim *sim, guint i, guint32 key)
{
  const struct sim_node *node = &sim->nodes[i];
  struct mesh_request request = { .phase = MESH_REQUEST_WAITING };

  g_strlcpy (request.request.service, SERVICE, sizeof request.request.service);
  request.request.slice = key;
  return node->is_up && sim->now >= node->paused_until && node->server.is_up
         && grant_covers_key (&node->mesh.grant, key, sim->now)
         && mesh_evacuation_refusal (&node->mesh, &request, sim->now)
                == REASON_NONE;
}

/* Count the keys for which an evacuated server would get requests beyond the
   bound.  A node that had a failure lately may not know of the evacuation.  */
static inline void
check_evacuated (struct sim *sim)
{
  guint32 key;
  guint i;

  for (i = 0; i < SIM_NODES; i++)
    {
      struct sim_node *node = &sim->nodes[i];
      gint64 since = sim->evacuated_at[sim_zone_of (i)];
      if (!node->is_up || sim->now < node->paused_until || node->isolated
          || !reaches_store (sim, i))
        node->disturbed_at = sim->now;
      if (since == 0 || sim->now - since < EVACUATE_USEC
          || sim->now - node->disturbed_at < EVACUATE_TOUCH_USEC)
        continue;
      for (key = 0; key < SHARD_KEY_COUNT; key += CHECKED_KEY_EVERY)
        sim->evacuated_run_count += serves_key (sim, i, key);
    }
}

#endif
