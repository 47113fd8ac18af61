#ifndef TESTS_MESH_WORLD_H
#define TESTS_MESH_WORLD_H

#include "tests/mesh_sim_check.h"
#include "tests/mesh_sim_messages.h"
#include "tests/mesh_sim_send.h"
#include "tests/suite.h"

/* A few nodes of a mesh with their servers, a store and the ways between, all
   under scripted time.  Trouble is drawn from a seed; the world checks after
   each step that no key has two holders and that fences rise.  */

/* Start the process of node I.  */
static inline void
start_node (struct world *world, guint i)
{
  struct world_node *node = &world->node[i];
  struct mesh_settings settings = { .heartbeat_usec = BEAT_USEC,
                                    .max_grant_usec = 10 * USEC_PER_SEC,
                                    .drain_limit_usec = 2 * USEC_PER_SEC,
                                    .stop_grace_usec = 6 * USEC_PER_SEC };
  struct route_service service = { .name = SERVICE, .sharded = TRUE };
  struct event event = { .kind = EVENT_ROUTING };

  g_snprintf (settings.name, sizeof settings.name, "node-%u", i);
  g_strlcpy (settings.service, SERVICE, sizeof settings.service);
  settings.peer_address.port = (guint16)i;
  settings.server_address.port = (guint16)(100 + i);
  settings.incarnation = ((guint64)i << 32) + ++node->server_instance;
  mesh_init (&node->mesh, &settings, world->now);
  node->up = TRUE;
  node->frozen_until = 0;
  node->read = 0;
  event.u.routing.routing = routing_new (1);
  g_array_append_val (event.u.routing.routing->services, service);
  tell (world, i, &event);
}

/* Kill the process of node I.  */
static inline void
kill_node (struct world *world, guint i)
{
  if (world->node[i].up)
    mesh_clear (&world->node[i].mesh);
  world->node[i].up = FALSE;
}

/* A new life of the server of node I begins.  */
static inline void
start_server (struct world *world, guint i)
{
  struct fake_server *server = &world->node[i].server;
  gint64 born = server->instance.started_at_msec + 1;

  memset (server, 0, sizeof *server);
  g_snprintf (server->instance.id, sizeof server->instance.id, "s%u", i);
  server->instance.started_at_msec = born;
  server->up = TRUE;
  server->beat_at = world->now;
}

/* Servers */

/* The server of node I sends a beat.  */
static inline void
send_beat (struct world *world, guint i)
{
  struct fake_server *server = &world->node[i].server;
  struct heartbeat *heartbeat = g_new0 (struct heartbeat, 1);
  struct event event = { .kind = EVENT_HEARTBEAT };

  heartbeat->instance = server->instance;
  g_strlcpy (heartbeat->service, SERVICE, sizeof heartbeat->service);
  heartbeat->address.port = (guint16)(100 + i);
  heartbeat->sequence = ++server->number;
  heartbeat->slots = 4;
  heartbeat->held_count = server->rows;
  memcpy (heartbeat->held_ranges, server->row, sizeof heartbeat->held_ranges);
  heartbeat->released_count = server->frees;
  memcpy (heartbeat->released_ranges, server->freed,
          sizeof heartbeat->released_ranges);
  server->beat_at = world->now + BEAT_USEC;
  event.u.heartbeat.heartbeat = heartbeat;
  tell (world, i, &event);
  g_free (heartbeat);
}

/* Tell whether ANSWER has all of ROW.  */
static inline gboolean
is_given (const struct heartbeat_answer *answer, const struct key_range *row)
{
  guint i;

  for (i = 0; i < answer->range_count; i++)
    if (answer->ranges[i].first <= row->first
        && answer->ranges[i].last >= row->last)
      return TRUE;
  return FALSE;
}

/* The server of LETTER's node reads the answer to its beat.  */
static inline void
take_answer (struct world *world, const struct letter *letter)
{
  struct fake_server *server = &world->node[letter->from].server;
  const struct heartbeat_answer *answer = letter->answer;
  guint i;

  if (!server->up || answer == NULL
      || world->now - letter->begun > ANSWER_USEC)
    return;
  server->frees = 0;
  if (!answer->renews_grant)
    return;
  for (i = 0; i < server->rows; i++)
    if (!is_given (answer, &server->row[i]))
      {
        server->freed[server->frees] = server->row[i];
        server->frees++;
        server->beat_at = world->now + USEC_PER_SEC / 10;
      }
  memcpy (server->row, answer->ranges, sizeof server->row);
  server->rows = answer->range_count;
  server->hold_until
      = letter->begun + answer->grant_usec + answer->grant_usec / 50;
}

/* Letters */

/* LETTER arrives.  */
static inline void
arrive (struct world *world, struct letter *letter)
{
  struct event event = { .kind = EVENT_STORE_APPENDED };
  gboolean same
      = world->node[letter->from].server_instance == letter->server_instance;

  switch (letter->kind)
    {
    case LETTER_APPEND:
      take_append (world, letter);
      fleet_record_clear (&letter->record);
      break;
    case LETTER_STORED:
      event.u.stored.serial = letter->serial;
      event.u.stored.code = letter->code;
      event.u.stored.offset = letter->at;
      if (same)
        tell (world, letter->from, &event);
      break;
    case LETTER_READ:
      take_read (world, letter);
      break;
    case LETTER_RECORDS:
      if (same)
        take_records (world, letter->from, letter->at, letter->begun);
      break;
    case LETTER_CALL:
      take_call (world, letter);
      break;
    case LETTER_REPLY:
      take_reply (world, letter);
      break;
    case LETTER_TIMEOUT:
      take_timeout (world, letter);
      break;
    case LETTER_BEAT:
      take_answer (world, letter);
      g_free (letter->answer);
      break;
    }
}

/* Let all that is due arrive.  */
static inline void
deliver (struct world *world)
{
  guint i = 0;

  while (i < world->letters->len)
    {
      struct letter letter = g_array_index (world->letters, struct letter, i);
      if (letter.due > world->now)
        {
          i++;
          continue;
        }
      g_array_remove_index (world->letters, i);
      arrive (world, &letter);
    }
}

/* Time */

/* One step of all nodes.  */
static inline void
step_world (struct world *world)
{
  struct event tick = { .kind = EVENT_TICK };
  guint i;

  world->now += STEP_USEC;
  deliver (world);
  for (i = 0; i < WORLD_NODES; i++)
    {
      struct world_node *node = &world->node[i];
      struct letter read = { .kind = LETTER_READ,
                             .from = i,
                             .server_instance = node->server_instance,
                             .begun = world->now };
      if (!node->up && world->now >= node->up_at)
        start_node (world, i);
      if (world->now >= node->well_at)
        node->cut = node->off_store = FALSE;
      if (!node->server.up && world->now >= node->server.beat_at)
        start_server (world, i);
      if (node->server.up && world->now >= node->server.beat_at)
        send_beat (world, i);
      if (node->up && g_rand_int_range (world->random, 0, 12) == 0)
        post (world, &read, draw_msec (world, 3, 30));
      tell (world, i, &tick);
    }
  check_holders (world);
}

/* Set up a world from SEED.  */
static inline struct world *
world_new (guint32 seed)
{
  struct world *world = g_new0 (struct world, 1);
  guint i;

  world->log = g_array_new (FALSE, TRUE, sizeof (struct fleet_record));
  world->letters = g_array_new (FALSE, TRUE, sizeof (struct letter));
  world->random = g_rand_new_with_seed (seed);
  world->now = 100 * USEC_PER_SEC;
  for (i = 0; i < WORLD_NODES; i++)
    {
      start_server (world, i);
      start_node (world, i);
    }
  return world;
}

/* Release WORLD.  */
static inline void
world_free (struct world *world)
{
  guint i;

  for (i = 0; i < WORLD_NODES; i++)
    kill_node (world, i);
  for (i = 0; i < world->letters->len; i++)
    {
      struct letter *letter
          = &g_array_index (world->letters, struct letter, i);
      if (letter->kind == LETTER_APPEND)
        fleet_record_clear (&letter->record);
      if (letter->kind == LETTER_BEAT)
        g_free (letter->answer);
    }
  for (i = 0; i < world->log->len; i++)
    fleet_record_clear (&g_array_index (world->log, struct fleet_record, i));
  g_array_free (world->log, TRUE);
  g_array_free (world->letters, TRUE);
  g_rand_free (world->random);
  g_free (world);
}

#endif
