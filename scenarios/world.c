#include "scenarios/world.h"

#include "decide/timing.h"
#include "scenarios/check.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define LOG_READ_INTERVAL_USEC 50000 /* between a node's reads of the log */

/* Record a violated invariant; only the first one is kept.  */
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
    printf ("%9.3f FAILURE %s\n", (double)world->now / G_USEC_PER_SEC,
            world->failure);
}

/* Set-up */

/* Set up a world without nodes; SEED draws the delays of the network.  */
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

/* Free what WORLD holds.  */
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

/* Start COUNT nodes in ZONES zones, with a service of SLICES slices, 0 for an
   undivided service.  */
void
world_start (struct world *world, guint count, guint zones, guint32 slices)
{
  guint n;

  world->node_count = MIN (count, SIM_NODES_MAX);
  world->zone_count = MAX (1, zones);
  world->slice_count = MIN (slices, SIM_SLICES_MAX);
  for (n = 0; n < world->node_count; n++)
    {
      g_snprintf (world->nodes[n].zone, NAME_SIZE, "%c",
                  (char)('a' + n % world->zone_count));
      fake_server_init (&world->nodes[n].server);
      world_start_node (world, n);
    }
}

/* Return the index of the node whose process is INCARNATION, or the number of
   nodes if there is none.  */
guint
world_find_node (const struct world *world, guint64 incarnation)
{
  guint n;

  for (n = 0; n < world->node_count; n++)
    if (world->nodes[n].incarnation == incarnation)
      break;
  return n;
}

/* Event loop */

/* Deliver EVENT to the core of node N and perform the actions that it returns.
   Once an action ends the process, the rest are dropped.  */
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

/* Deliver a timer event to node N and schedule the next one.  */
static void
process_tick (struct world *world, guint n)
{
  struct event event = { .kind = EVENT_TICK };

  event.u.tick.pending_exchanges = world->nodes[n].exchange_count;
  world_schedule (world, world->now + TICK_INTERVAL_USEC, SIM_EVENT_TICK, n);
  world_deliver (world, n, &event);
}

/* Complete a log read of node N: deliver the records or the error, and
   schedule the next read.  */
static void
process_log_read (struct world *world, guint n)
{
  struct sim_node *node = &world->nodes[n];
  const struct fake_log *log = &world->log;
  struct event event = { .kind = EVENT_RECORDS };

  world_schedule (world, world->now + LOG_READ_INTERVAL_USEC + log->delay_usec,
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

/* Announce the backend server beside node N to the node, unless the server has
   crashed and not yet restarted.  */
static void
process_server_up (struct world *world, guint n)
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

/* Deliver an event to a node's core.  An event with a handle is the timeout of
   a call and is dropped if the call has ended.  */
static void
process_core_event (struct world *world, const struct sim_event *scheduled)
{
  if (handle_is_set (scheduled->handle)
      && !table_remove (&world->calls, scheduled->handle))
    return;
  world_deliver (world, scheduled->node, &scheduled->core_event);
}

/* Process SCHEDULED.  */
static void
process_event (struct world *world, const struct sim_event *scheduled)
{
  switch (scheduled->kind)
    {
    case SIM_EVENT_TICK:
      process_tick (world, scheduled->node);
      break;
    case SIM_EVENT_LOG_READ:
      process_log_read (world, scheduled->node);
      break;
    case SIM_EVENT_CORE:
      process_core_event (world, scheduled);
      break;
    case SIM_EVENT_PEER_CALL:
      world_deliver_call (world, scheduled);
      break;
    case SIM_EVENT_ATTEMPT_ENDED:
      world_end_attempt (world, scheduled);
      break;
    case SIM_EVENT_RUN_ENDED:
      world_end_run (world, scheduled);
      break;
    case SIM_EVENT_ANSWER:
      world_deliver_answer (world, scheduled);
      break;
    case SIM_EVENT_PUBLISH:
      world_append_config (world, scheduled);
      break;
    case SIM_EVENT_SERVER_UP:
      process_server_up (world, scheduled->node);
      break;
    }
}

/* Return whether SCHEDULED belongs to a process that has ended.  */
static gboolean
is_stale (const struct world *world, const struct sim_event *scheduled)
{
  const struct sim_node *node = &world->nodes[scheduled->node];

  if (scheduled->kind == SIM_EVENT_ANSWER
      || scheduled->kind == SIM_EVENT_PUBLISH)
    return FALSE;
  return !node->alive || node->incarnation != scheduled->node_incarnation;
}

/* Return whether SCHEDULED has to wait because its node is frozen.  */
static gboolean
is_deferred (const struct world *world, const struct sim_event *scheduled)
{
  return scheduled->kind != SIM_EVENT_ANSWER
         && scheduled->kind != SIM_EVENT_PUBLISH
         && world->nodes[scheduled->node].frozen_until > world->now;
}

/* Process all events due up to UNTIL in order, and check the invariants after
   each one.  */
void
world_run_until (struct world *world, gint64 until)
{
  for (;;)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (world->event_queue);
      struct sim_event *scheduled;
      if (g_sequence_iter_is_end (first))
        break;
      scheduled = g_sequence_get (first);
      if (scheduled->due_at > until)
        break;
      world->now = MAX (world->now, scheduled->due_at);
      if (!is_stale (world, scheduled) && is_deferred (world, scheduled))
        {
          scheduled->due_at = world->nodes[scheduled->node].frozen_until;
          g_sequence_sort_changed (first, sim_event_compare, NULL);
          continue;
        }
      if (!is_stale (world, scheduled))
        {
          process_event (world, scheduled);
          check_world (world);
        }
      g_sequence_remove (first);
    }
  world->now = MAX (world->now, until);
  check_world (world);
}
