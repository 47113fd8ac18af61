#include "scenarios/world.h"

#include "decide/timing.h"
#include "scenarios/check.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define READ_EVERY_USEC 50000 /* a node reads the log so often */

/* Remember the first broken property.  */
void
world_fail (struct world *world, const char *format, ...)
{
  va_list args;

  if (world->failure[0] != '\0')
    return;
  va_start (args, format);
  g_vsnprintf (world->failure, sizeof world->failure, format, args);
  va_end (args);
  if (world->verbose)
    printf ("%9.3f FAULT %s\n", (double)world->now / G_USEC_PER_SEC,
            world->failure);
}

/* Life */

/* Set up an empty world; SEED draws the delays of the network.  */
void
world_init (struct world *world, guint32 seed)
{
  memset (world, 0, sizeof *world);
  world->now = G_USEC_PER_SEC;
  fake_log_init (&world->log);
  fake_net_init (&world->net, seed);
  world->event_queue = g_sequence_new (sim_event_free);
  table_init (&world->exchanges, sizeof (struct sim_exchange));
  table_init (&world->calls, sizeof (struct sim_call));
  world->submissions = g_array_new (FALSE, TRUE, sizeof (struct submission));
  world->runs = g_array_new (FALSE, TRUE, sizeof (struct fake_run));
  world->publications = g_array_new (FALSE, TRUE, sizeof (struct publication));
  world->stamps
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

/* Release what the world holds.  */
void
world_clear (struct world *world)
{
  guint n;

  for (n = 0; n < world->node_count; n++)
    if (world->nodes[n].alive)
      core_clear (&world->nodes[n].core);
  g_sequence_free (world->event_queue);
  fake_log_clear (&world->log);
  fake_net_clear (&world->net);
  table_clear (&world->exchanges);
  table_clear (&world->calls);
  g_array_free (world->submissions, TRUE);
  g_array_free (world->runs, TRUE);
  g_array_free (world->publications, TRUE);
  g_hash_table_destroy (world->stamps);
}

/* Start COUNT nodes in ZONES zones, with a service of SLICES slices.  */
void
world_start (struct world *world, guint count, guint zones, guint32 slices)
{
  guint n;

  world->node_count = MIN (count, SIM_NODES_MAX);
  world->zone_count = MAX (1, zones);
  world->slice_count = MIN (slices, SLICES_MAX);
  for (n = 0; n < world->node_count; n++)
    {
      g_snprintf (world->nodes[n].zone, NAME_SIZE, "%c",
                  (char)('a' + n % world->zone_count));
      fake_server_init (&world->nodes[n].server);
      world_start_node (world, n);
    }
}

/* The node whose process is INCARNATION; the count of nodes if none is.  */
guint
world_find_node (const struct world *world, guint64 incarnation)
{
  guint n;

  for (n = 0; n < world->node_count; n++)
    if (world->nodes[n].incarnation == incarnation)
      break;
  return n;
}

/* The loop */

/* Give EVENT to the core of node N and do what it wants.  */
void
world_deliver (struct world *world, guint n, const struct event *event)
{
  guint64 incarnation = world->nodes[n].incarnation;
  struct actions actions;
  guint i;

  actions_init (&actions);
  core_step (&world->nodes[n].core, event, world->now, &actions);
  for (i = 0; i < actions.items->len; i++)
    if (world->nodes[n].incarnation == incarnation && world->nodes[n].alive)
      world_perform (world, n, actions_at (&actions, i));
  actions_clear (&actions);
}

/* A node's timer: feed it and set it again.  */
static void
do_tick (struct world *world, guint n)
{
  struct event event = { .kind = EVENT_TICK };

  event.u.tick.pending_exchanges = world->nodes[n].exchange_count;
  world_schedule (world, world->now + TICK_INTERVAL_USEC, SIM_EVENT_TICK, n);
  world_deliver (world, n, &event);
}

/* A node's read of the log ends: feed it what is there.  */
static void
do_read (struct world *world, guint n)
{
  struct sim_node *node = &world->nodes[n];
  const struct fake_log *log = &world->log;
  struct event event = { .kind = EVENT_RECORDS };

  world_schedule (world, world->now + READ_EVERY_USEC + log->delay_usec,
                  SIM_EVENT_LOG_READ, n);
  if (log->down || node->next_offset < log->first_retained)
    {
      event.kind = EVENT_LOG_FAILED;
      event.u.log_failed.code = log->down ? ERR_UNAVAILABLE : ERR_NOT_RETAINED;
      event.u.log_failed.first_retained = log->first_retained;
    }
  else
    {
      event.u.records.count
          = (guint32)(fake_log_next_offset (log) - node->next_offset);
      if (event.u.records.count > 0)
        event.u.records.items = fake_log_at (log, node->next_offset);
      node->next_offset = fake_log_next_offset (log);
      event.u.records.next_offset = node->next_offset;
      event.u.records.first_retained = log->first_retained;
      event.u.records.at_end = TRUE;
      event.u.records.from_log = TRUE;
      event.u.records.started_at = world->now - log->delay_usec;
    }
  world_deliver (world, n, &event);
}

/* A server runs again, or its node has started: it announces itself.  */
static void
do_server_up (struct world *world, guint n)
{
  struct event event = { .kind = EVENT_SERVER_UP };

  if (world->now < world->nodes[n].server.restart_at)
    return;
  world->nodes[n].server.up = TRUE;
  g_snprintf (event.u.server_up.server, NAME_SIZE, "server-%u", n + 1);
  event.u.server_up.slots = world->nodes[n].core.settings.default_slots;
  event.u.server_up.checks_fences = world->nodes[n].server.checks_fences;
  world_deliver (world, n, &event);
}

/* An event reaches a node, unless it is the deadline of a call that has
   ended.  */
static void
do_event (struct world *world, const struct sim_event *sim_event)
{
  if (handle_is_set (sim_event->handle)
      && !table_remove (&world->calls, sim_event->handle))
    return;
  world_deliver (world, sim_event->node, &sim_event->core_event);
}

/* Let MOMENT happen.  */
static void
happen (struct world *world, const struct sim_event *sim_event)
{
  switch (sim_event->kind)
    {
    case SIM_EVENT_TICK:
      do_tick (world, sim_event->node);
      break;
    case SIM_EVENT_LOG_READ:
      do_read (world, sim_event->node);
      break;
    case SIM_EVENT_CORE:
      do_event (world, sim_event);
      break;
    case SIM_EVENT_PEER_CALL:
      world_deliver_call (world, sim_event);
      break;
    case SIM_EVENT_ATTEMPT_ENDED:
      world_end_attempt (world, sim_event);
      break;
    case SIM_EVENT_RUN_ENDED:
      world_end_run (world, sim_event);
      break;
    case SIM_EVENT_ANSWER:
      world_deliver_answer (world, sim_event);
      break;
    case SIM_EVENT_PUBLISH:
      world_append_config (world, sim_event);
      break;
    case SIM_EVENT_SERVER_UP:
      do_server_up (world, sim_event->node);
      break;
    }
}

/* Tell whether MOMENT concerns a process, and that process has ended.  */
static gboolean
is_void (const struct world *world, const struct sim_event *sim_event)
{
  const struct sim_node *node = &world->nodes[sim_event->node];

  if (sim_event->kind == SIM_EVENT_ANSWER
      || sim_event->kind == SIM_EVENT_PUBLISH)
    return FALSE;
  return !node->alive || node->incarnation != sim_event->node_incarnation;
}

/* Tell whether MOMENT has to wait until its node is no longer frozen.  */
static gboolean
is_held_up (const struct world *world, const struct sim_event *sim_event)
{
  return sim_event->kind != SIM_EVENT_ANSWER
         && sim_event->kind != SIM_EVENT_PUBLISH
         && world->nodes[sim_event->node].frozen_until > world->now;
}

/* Let everything happen that is due up to UNTIL, checking after each.  */
void
world_run_until (struct world *world, gint64 until)
{
  for (;;)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (world->event_queue);
      struct sim_event *sim_event;
      if (g_sequence_iter_is_end (first))
        break;
      sim_event = g_sequence_get (first);
      if (sim_event->due_at > until)
        break;
      world->now = MAX (world->now, sim_event->due_at);
      if (!is_void (world, sim_event) && is_held_up (world, sim_event))
        {
          sim_event->due_at = world->nodes[sim_event->node].frozen_until;
          g_sequence_sort_changed (first, sim_event_compare, NULL);
          continue;
        }
      if (!is_void (world, sim_event))
        {
          happen (world, sim_event);
          check_world (world);
        }
      g_sequence_remove (first);
    }
  world->now = MAX (world->now, until);
  check_world (world);
}
