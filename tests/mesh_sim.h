#ifndef TESTS_MESH_SIM_H
#define TESTS_MESH_SIM_H

#include "tests/mesh_sim_check.h"
#include "tests/mesh_sim_evacuation.h"
#include "tests/mesh_sim_messages.h"
#include "tests/mesh_sim_orders.h"
#include "tests/mesh_sim_send.h"
#include "tests/mesh_sim_server.h"
#include "tests/suite.h"

/* A simulation of a few mesh nodes with their servers, a store and the
   network, under scripted time.  Failures are drawn from a seed.  After each
   step the simulation checks that no key has two holders and that fences
   rise.  */

/* Start the process of node I.  */
static inline void
start_node (struct sim *sim, guint i)
{
  struct sim_node *node = &sim->nodes[i];
  struct mesh_settings settings = { .heartbeat_usec = HEARTBEAT_USEC,
                                    .grant_method = sim->method,
                                    .max_grant_usec = 10 * USEC_PER_SEC,
                                    .drain_limit_usec = 2 * USEC_PER_SEC,
                                    .config_apply_usec = 2 * USEC_PER_SEC,
                                    .stop_grace_usec = 6 * USEC_PER_SEC };
  struct route_service service = { .name = SERVICE, .sharded = TRUE };
  struct event event = { .kind = EVENT_ROUTING };

  g_snprintf (settings.name, sizeof settings.name, "node-%u", i);
  g_strlcpy (settings.service, SERVICE, sizeof settings.service);
  if (sim->has_evacuations)
    {
      g_strlcpy (settings.zone, sim_zone_name (sim_zone_of (i)),
                 sizeof settings.zone);
      settings.evacuate_usec = EVACUATE_USEC;
    }
  settings.peer_address.port = (guint16)i;
  settings.server_address.port = (guint16)(100 + i);
  settings.incarnation = ((guint64)i << 32) + ++node->process_number;
  mesh_init (&node->mesh, &settings, sim->now);
  node->is_up = TRUE;
  node->paused_until = 0;
  node->read_offset = 0;
  event.u.routing.routing = routing_new (1);
  g_array_append_val (event.u.routing.routing->services, service);
  feed_node (sim, i, &event);
}

/* Kill the process of node I.  */
static inline void
kill_node (struct sim *sim, guint i)
{
  if (sim->nodes[i].is_up)
    mesh_clear (&sim->nodes[i].mesh);
  sim->nodes[i].is_up = FALSE;
}

/* Start a new instance of the server of node I.  */
static inline void
start_server (struct sim *sim, guint i)
{
  struct sim_server *server = &sim->nodes[i].server;
  gint64 started_at_msec = server->instance.started_at_msec + 1;

  g_free (server->holds);
  g_free (server->seen_fence);
  memset (server, 0, sizeof *server);
  if (sim->method == GRANT_BY_CALL)
    {
      server->holds = g_new0 (struct sim_hold, SHARD_KEY_COUNT);
      server->seen_fence = g_new0 (guint64, SHARD_KEY_COUNT);
    }
  g_snprintf (server->instance.id, sizeof server->instance.id, "s%u", i);
  server->instance.started_at_msec = started_at_msec;
  server->is_up = TRUE;
  server->next_heartbeat_at = sim->now;
}

/* Messages */

/* Deliver MESSAGE to its receiver.  */
static inline void
deliver_message (struct sim *sim, struct sim_message *message)
{
  struct event event = { .kind = EVENT_STORE_APPENDED };
  gboolean same
      = sim->nodes[message->from].process_number == message->process_number;

  switch (message->kind)
    {
    case SIM_APPEND:
      on_append (sim, message);
      fleet_record_clear (&message->record);
      break;
    case SIM_APPENDED:
      event.u.store_appended.serial = message->serial;
      event.u.store_appended.code = message->code;
      event.u.store_appended.offset = message->offset;
      if (same)
        feed_node (sim, message->from, &event);
      break;
    case SIM_READ:
      on_read (sim, message);
      break;
    case SIM_RECORDS:
      if (same)
        on_records (sim, message->from, message->offset, message->started_at);
      break;
    case SIM_READ_OPERATOR:
      on_read_operator (sim, message);
      break;
    case SIM_EVACUATIONS:
      if (same)
        on_evacuations (sim, message);
      break;
    case SIM_CALL:
      on_call (sim, message);
      break;
    case SIM_REPLY:
      on_reply (sim, message);
      break;
    case SIM_TIMEOUT:
      on_timeout (sim, message);
      break;
    case SIM_ORDER:
      on_order (sim, message);
      break;
    case SIM_ORDER_ENDED:
      on_order_ended (sim, message);
      break;
    case SIM_HEARTBEAT_ANSWER:
      on_heartbeat_answer (sim, message);
      g_free (message->answer);
      break;
    }
}

/* Deliver all messages that are due.  */
static inline void
deliver_due (struct sim *sim)
{
  guint i = 0;

  while (i < sim->messages->len)
    {
      struct sim_message message
          = g_array_index (sim->messages, struct sim_message, i);
      if (message.due_at > sim->now)
        {
          i++;
          continue;
        }
      g_array_remove_index (sim->messages, i);
      deliver_message (sim, &message);
    }
}

/* Time */

/* Advance all nodes by one step.  */
static inline void
sim_step (struct sim *sim)
{
  struct event tick = { .kind = EVENT_TICK };
  guint i;

  sim->now += STEP_USEC;
  deliver_due (sim);
  for (i = 0; i < SIM_NODES; i++)
    {
      struct sim_node *node = &sim->nodes[i];
      struct sim_message read = { .kind = SIM_READ,
                                  .from = i,
                                  .process_number = node->process_number,
                                  .started_at = sim->now };
      if (!node->is_up && sim->now >= node->restart_at)
        start_node (sim, i);
      if (sim->now >= node->restored_at)
        node->isolated = node->store_unreachable = FALSE;
      if (!node->server.is_up && sim->now >= node->server.next_heartbeat_at)
        start_server (sim, i);
      if (node->server.is_up && sim->now >= node->server.next_heartbeat_at)
        send_heartbeat (sim, i);
      if (node->is_up && g_rand_int_range (sim->random, 0, 12) == 0)
        send_message (sim, &read, draw_msec (sim, 3, 30));
      if (sim->has_evacuations)
        follow_operator (sim, i);
      feed_node (sim, i, &tick);
    }
  if (sim->method == GRANT_BY_CALL)
    check_gates (sim);
  else
    check_holders (sim);
  if (sim->has_evacuations)
    check_evacuated (sim);
}

/* Set up a simulation from SEED, with servers that are told their keys by
   METHOD, and with an operator who evacuates data centres if
   HAS_EVACUATIONS.  */
static inline struct sim *
sim_new_with (guint32 seed, enum grant_method method, gboolean has_evacuations)
{
  struct sim *sim = g_new0 (struct sim, 1);
  guint i;

  sim->log = g_array_new (FALSE, TRUE, sizeof (struct fleet_record));
  sim->log_times = g_array_new (FALSE, TRUE, sizeof (gint64));
  sim->messages = g_array_new (FALSE, TRUE, sizeof (struct sim_message));
  sim->random = g_rand_new_with_seed (seed);
  sim->now = 100 * USEC_PER_SEC;
  sim->method = method;
  sim->has_evacuations = has_evacuations;
  sim->operator_random = g_rand_new_with_seed (seed);
  sim->evacuations = g_array_new (FALSE, TRUE, sizeof (struct evacuation));
  for (i = 0; i < SIM_NODES; i++)
    {
      start_server (sim, i);
      start_node (sim, i);
    }
  return sim;
}

/* Set up a simulation without evacuations.  */
static inline struct sim *
sim_new (guint32 seed, enum grant_method method)
{
  return sim_new_with (seed, method, FALSE);
}

/* Free SIM.  */
static inline void
sim_free (struct sim *sim)
{
  guint i;

  for (i = 0; i < SIM_NODES; i++)
    {
      kill_node (sim, i);
      g_free (sim->nodes[i].server.holds);
      g_free (sim->nodes[i].server.seen_fence);
    }
  for (i = 0; i < sim->messages->len; i++)
    {
      struct sim_message *message
          = &g_array_index (sim->messages, struct sim_message, i);
      if (message->kind == SIM_APPEND)
        fleet_record_clear (&message->record);
      if (message->kind == SIM_HEARTBEAT_ANSWER)
        g_free (message->answer);
    }
  for (i = 0; i < sim->log->len; i++)
    fleet_record_clear (&g_array_index (sim->log, struct fleet_record, i));
  g_array_free (sim->log, TRUE);
  g_array_free (sim->log_times, TRUE);
  g_array_free (sim->messages, TRUE);
  g_rand_free (sim->random);
  g_rand_free (sim->operator_random);
  g_array_free (sim->evacuations, TRUE);
  g_free (sim);
}

#endif
