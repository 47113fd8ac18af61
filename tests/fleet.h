#ifndef TESTS_FLEET_H
#define TESTS_FLEET_H

#include "tests/fleet_fake.h"

/* Runs the cores of fleet_fake.h and checks which slices they serve.  */

/* Return whether, and under which fence, node I may serve SLICE now.  */
static inline struct serve_right
fleet_serve_right (const struct fleet *fleet, int i, guint32 slice)
{
  const struct core *core = &fleet->cores[i];
  const struct view_service *service
      = view_find_service (&core->view, MAKE_SERVICE);
  struct serve_right none = { FALSE, REASON_NO_OWNER, { 0, 0 } };

  return service != NULL ? ownership_check (core, service, slice, fleet->now)
                         : none;
}

/* Return the node that serves SLICE now, -1 if there is none.  Count a
   violation in two_owners if there are two.  */
static inline int
fleet_server (struct fleet *fleet, guint32 slice)
{
  int found = -1;
  int i;

  for (i = 0; i < fleet->count; i++)
    if (fleet->up[i] && fleet_serve_right (fleet, i, slice).may_serve)
      {
        if (found >= 0)
          fleet->two_owners++;
        found = i;
      }
  return found;
}

/* Run the fleet for USEC.  */
static inline void
fleet_run (struct fleet *fleet, gint64 usec)
{
  struct event tick = { .kind = EVENT_TICK };
  gint64 end = fleet->now + usec;
  guint32 slice;
  int i;

  while (fleet->now < end)
    {
      fleet->now += FLEET_STEP_USEC;
      fleet->steps++;
      fleet_deliver (fleet);
      for (i = 0; i < fleet->count; i++)
        if (fleet->up[i] && fleet->steps % FLEET_STEPS_A_TICK == 0)
          {
            if (!fleet->is_lagging[i])
              fleet_read (fleet, i);
            fleet_feed (fleet, i, &tick);
          }
      for (slice = 0; slice < MAKE_SLICES; slice++)
        fleet_server (fleet, slice);
    }
}

/* Run the fleet until a node serves SLICE, at most for USEC.  Return that
   node, or -1.  */
static inline int
fleet_wait (struct fleet *fleet, guint32 slice, gint64 usec)
{
  gint64 end = fleet->now + usec;

  while (fleet->now < end && fleet_server (fleet, slice) < 0)
    fleet_run (fleet, FLEET_STEP_USEC);
  return fleet_server (fleet, slice);
}

/* Start a process with INCARNATION at the address of node I + 1.  Its server
   checks fences if CHECKS is set.  */
static inline void
fleet_start (struct fleet *fleet, int i, guint64 incarnation, gboolean checks)
{
  struct record join = make_join ((guint64)i + 1);
  struct core_settings settings
      = { .incarnation = incarnation, .random_seed = 7 };
  struct event up = { .kind = EVENT_SERVER_UP };

  memcpy (settings.host, join.body.join.host, NAME_SIZE);
  memcpy (settings.zone, join.body.join.zone, NAME_SIZE);
  g_strlcpy (settings.service, MAKE_SERVICE, NAME_SIZE);
  settings.peer_address = join.body.join.peer_address;
  settings.front_address = join.body.join.http_address;
  core_init (&fleet->cores[i], &settings);
  fleet->up[i] = TRUE;
  fleet->is_lagging[i] = FALSE;
  fleet->exit_requested[i] = FALSE;
  fleet->next_read[i] = 1;
  g_strlcpy (up.u.server_up.server, join.body.join.server, NAME_SIZE);
  up.u.server_up.slots = 4;
  up.u.server_up.checks_fences = checks;
  fleet_feed (fleet, i, &up);
}

/* Stop the process of node I and start a new incarnation of it.  */
static inline void
fleet_restart (struct fleet *fleet, int i)
{
  guint64 incarnation = fleet->cores[i].settings.incarnation + FLEET_MAX;
  guint k;

  for (k = fleet->mail->len; k > 0; k--)
    if (g_array_index (fleet->mail, struct fleet_mail, k - 1).to == i)
      g_array_remove_index (fleet->mail, k - 1);
  core_clear (&fleet->cores[i]);
  fleet_start (fleet, i, incarnation, TRUE);
}

/* Start COUNT nodes, whose servers check fences if CHECKS is set.  Node 1 gets
   slice 0, with the successors 2 and 3.  The log refuses RECORD_ASSIGN of the
   nodes, so that the planner has no effect.  */
static inline void
fleet_init (struct fleet *fleet, int count, gboolean checks)
{
  int i;

  memset (fleet, 0, sizeof *fleet);
  fleet->count = count;
  fleet->now = 1000000;
  fleet->log = g_array_new (FALSE, TRUE, sizeof (struct log_entry));
  fleet->mail = g_array_new (FALSE, TRUE, sizeof (struct fleet_mail));
  fleet_append (fleet, make_config ());
  fleet->refused_kind = RECORD_ASSIGN;
  for (i = 0; i < count; i++)
    fleet_start (fleet, i, (guint64)i + 1, checks);
  fleet_run (fleet, 2000000);
  fleet_append (fleet, make_slice (RECORD_ASSIGN, 0, 0, 1, 2, 3));
  fleet_run (fleet, 500000);
}

/* Release the fleet.  */
static inline void
fleet_clear (struct fleet *fleet)
{
  int i;
  guint k;

  for (i = 0; i < fleet->count; i++)
    core_clear (&fleet->cores[i]);
  for (k = 0; k < fleet->log->len; k++)
    record_clear (&g_array_index (fleet->log, struct log_entry, k).record);
  g_array_free (fleet->log, TRUE);
  g_array_free (fleet->mail, TRUE);
}

/* Return slice 0 in the view of node I.  */
static inline const struct view_slice *
fleet_slice (const struct fleet *fleet, int i)
{
  return view_slice_at (
      view_find_service (&fleet->cores[i].view, MAKE_SERVICE), 0);
}

/* Tell whether node I is a witness of the node HOLDER in the view of
   HOLDER.  */
static inline gboolean
fleet_is_witness (const struct fleet *fleet, guint64 holder, int i)
{
  const struct view *view = &fleet->cores[holder - 1].view;
  const struct view_node *node
      = view_node_at (view, view_find_node (view, holder));
  guint32 k;

  for (k = 0; node != NULL && k < node->witness_count; k++)
    if (node->witnesses[k] == (guint64)i + 1)
      return TRUE;
  return FALSE;
}

/* Cut or restore all connections of node I, in both directions.  */
static inline void
fleet_isolate (struct fleet *fleet, int i, gboolean cut)
{
  int k;

  for (k = 0; k < fleet->count; k++)
    if (k != i)
      fleet->cut[i][k] = fleet->cut[k][i] = cut;
}

#endif
