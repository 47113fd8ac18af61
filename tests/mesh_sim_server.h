#ifndef TESTS_MESH_SIM_SERVER_H
#define TESTS_MESH_SIM_SERVER_H

#include "tests/mesh_sim_send.h"

/* Heartbeats of the servers of a simulation.  */

/* Send a heartbeat of the server of node I.  */
static inline void
send_heartbeat (struct sim *sim, guint i)
{
  struct sim_server *server = &sim->nodes[i].server;
  struct heartbeat *heartbeat = g_new0 (struct heartbeat, 1);
  struct event event = { .kind = EVENT_HEARTBEAT };

  heartbeat->instance = server->instance;
  g_strlcpy (heartbeat->service, SERVICE, sizeof heartbeat->service);
  heartbeat->address.port = (guint16)(100 + i);
  heartbeat->sequence = ++server->heartbeat_number;
  heartbeat->slots = 4;
  heartbeat->held_count = server->held_count;
  heartbeat->held_ranges
      = g_memdup2 (server->held_ranges, sizeof server->held_ranges);
  heartbeat->released_count = server->released_count;
  heartbeat->released_ranges
      = g_memdup2 (server->released_ranges, sizeof server->released_ranges);
  server->next_heartbeat_at = sim->now + HEARTBEAT_USEC;
  event.u.heartbeat.heartbeat = heartbeat;
  feed_node (sim, i, &event);
  heartbeat_clear (heartbeat);
  g_free (heartbeat);
}

/* Return whether ANSWER includes all of RANGE.  */
static inline gboolean
answer_covers (const struct heartbeat_answer *answer,
               const struct key_range *range)
{
  guint i;

  for (i = 0; i < answer->range_count; i++)
    if (answer->ranges[i].first <= range->first
        && answer->ranges[i].last >= range->last)
      return TRUE;
  return FALSE;
}

/* Deliver the answer to a heartbeat in MESSAGE to the server.  */
static inline void
on_heartbeat_answer (struct sim *sim, const struct sim_message *message)
{
  struct sim_server *server = &sim->nodes[message->from].server;
  const struct heartbeat_answer *answer = message->answer;
  guint i;

  if (!server->is_up || answer == NULL
      || sim->now - message->started_at > ANSWER_TIMEOUT_USEC)
    return;
  server->released_count = 0;
  if (!answer->renews_grant)
    return;
  for (i = 0; i < server->held_count; i++)
    if (!answer_covers (answer, &server->held_ranges[i]))
      {
        server->released_ranges[server->released_count]
            = server->held_ranges[i];
        server->released_count++;
        server->next_heartbeat_at = sim->now + USEC_PER_SEC / 10;
      }
  memcpy (server->held_ranges, answer->ranges, sizeof server->held_ranges);
  server->held_count = answer->range_count;
  server->held_until
      = message->started_at + answer->grant_usec + answer->grant_usec / 50;
}

#endif
