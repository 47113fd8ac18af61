#include "scenarios/world.h"

#include <stdio.h>
#include <string.h>

/* Starting, stopping and freezing nodes, and operators.  */

#define SNAPSHOT_RECORDS 200           /* records between snapshots */
#define SNAPSHOT_SEC 600               /* longest time between snapshots */
#define SERVER_UP_AFTER_USEC 100000    /* a server announces itself */
#define START_STEP_USEC ((gint64)1700) /* timers of nodes are apart */
#define PUBLISH_AFTER_USEC 50000  /* from an operator's read to its append */
#define PUBLISH_AGAIN_USEC 500000 /* an operator tries again */
#define SERVER_SLOTS 20           /* slots of a server */
#define FRONT_PORT 1000           /* ports are made up */
#define PEER_PORT 2000

/* Start a process for node N.  */
void
world_start_node (struct world *world, guint n)
{
  struct sim_node *node = &world->nodes[n];
  struct core_settings settings;

  memset (&settings, 0, sizeof settings);
  settings.incarnation = 1000 * ++world->process_count + n + 1;
  settings.random_seed = settings.incarnation;
  g_snprintf (settings.host, NAME_SIZE, "host-%u", n + 1);
  g_strlcpy (settings.zone, node->zone, NAME_SIZE);
  g_strlcpy (settings.region, "r", NAME_SIZE);
  g_strlcpy (settings.service, WORLD_SERVICE, NAME_SIZE);
  settings.front_address.port = (guint16)(FRONT_PORT + n);
  settings.peer_address.port = (guint16)(PEER_PORT + n);
  settings.default_slots = SERVER_SLOTS;
  settings.snapshot_records = SNAPSHOT_RECORDS;
  settings.snapshot_interval_sec = SNAPSHOT_SEC;
  core_init (&node->core, &settings);
  node->incarnation = settings.incarnation;
  node->alive = TRUE;
  node->drained = FALSE;
  node->draining = FALSE;
  node->frozen_until = 0;
  node->next_offset = 1;
  node->last_config_offset = 0;
  node->exchange_count = 0;
  world_schedule (world, world->now + START_STEP_USEC * (n + 1),
                  SIM_EVENT_TICK, n);
  world_schedule (world, world->now + START_STEP_USEC * (n + 1),
                  SIM_EVENT_LOG_READ, n);
  world_schedule (world, world->now + SERVER_UP_AFTER_USEC,
                  SIM_EVENT_SERVER_UP, n);
}

/* End the process of node N at once.  */
void
world_kill_node (struct world *world, guint n)
{
  struct sim_node *node = &world->nodes[n];

  if (!node->alive)
    return;
  world_drop_exchanges (world, n);
  node->alive = FALSE;
  core_clear (&node->core);
}

/* Let node N take no step before UNTIL.  */
void
world_freeze_node (struct world *world, guint n, gint64 until)
{
  world->nodes[n].frozen_until = until;
}

/* Ask node N to leave.  */
void
world_drain_node (struct world *world, guint n)
{
  struct event event = { .kind = EVENT_DRAIN };

  world->nodes[n].draining = TRUE;
  world_schedule (world, world->now, SIM_EVENT_CORE, n)->core_event = event;
}

/* Operators */

/* The text of the configuration numbered NUMBER: it differs from others in
   the length of the queue.  */
static char *
config_text (const struct world *world, guint number)
{
  GString *text = g_string_new (NULL);
  guint i;

  for (i = 0; i < world->zone_count; i++)
    g_string_append_printf (text, "[place %c]\nregion = r\n\n",
                            (char)('a' + i));
  g_string_append_printf (text, "[service %s]\ndivided = %s\n", WORLD_SERVICE,
                          world->slice_count > 0 ? "yes" : "no");
  if (world->slice_count > 0)
    g_string_append_printf (text, "slices = %u\n", world->slice_count);
  g_string_append_printf (text, "timeout-ms = 1000\nqueue = %u\n\n",
                          10 + number);
  g_string_append_printf (
      text, "[rule any]\nservice = %s\npath = /k/\n%srun = once\n",
      WORLD_SERVICE, world->slice_count > 0 ? "key-segment = 2\n" : "");
  return g_string_free (text, FALSE);
}

/* An operator reads the configuration in force and soon appends one made
   from it.  */
void
world_publish (struct world *world, const char *name, const char *author)
{
  struct publication publication
      = { .base_offset = world->log.view.config_offset };

  g_strlcpy (publication.name, name, NAME_SIZE);
  g_strlcpy (publication.author, author, NAME_SIZE);
  g_array_append_val (world->publications, publication);
  world_schedule (world, world->now + PUBLISH_AFTER_USEC, SIM_EVENT_PUBLISH, 0)
      ->index
      = world->publications->len - 1;
}

/* The operator's append: it is tried again while the log is down, and what
   came of it is read back from the log.  */
void
world_append_config (struct world *world, const struct sim_event *sim_event)
{
  struct publication *publication = &g_array_index (
      world->publications, struct publication, sim_event->index);
  struct record record = { .version = RECORD_VERSION, .kind = RECORD_CONFIG };

  record.serial = sim_event->index + 1;
  record.body.config.base_offset = publication->base_offset;
  record.body.config.text = config_text (world, sim_event->index);
  g_strlcpy (record.body.config.author, publication->author, NAME_SIZE);
  if (fake_log_append (&world->log, &record, &publication->offset)
      == ERR_UNAVAILABLE)
    world_schedule (world, world->now + PUBLISH_AGAIN_USEC, SIM_EVENT_PUBLISH,
                    0)
        ->index
        = sim_event->index;
  else
    publication->accepted
        = world->log.view.config_offset == publication->offset;
  record_clear (&record);
}
