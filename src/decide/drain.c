#include "decide/drain.h"

#include "decide/core.h"

/* Request the graceful stop.  A second request has no effect.  */
void
drain_begin (struct core *core)
{
  core->drain.is_requested = TRUE;
}

/* Return whether this node accepts new work of a service that is not sharded.
   A leaving node does not, once it has read its own record `leaving'.  */
gboolean
drain_accepts_new (const struct core *core)
{
  const struct view_node *node = view_node_at (&core->view, core->self);

  return node != NULL ? node->state == NODE_LIVE : !core->has_joined;
}

/* Return whether this node accepts work of an unsharded service with a stamp
   of its own.  A caller that was given a stamp has DRAIN_LINGER_USEC to use
   it.  */
gboolean
drain_accepts_stamped (const struct core *core, gint64 now)
{
  const struct view_node *node = view_node_at (&core->view, core->self);

  return drain_accepts_new (core)
         || (node != NULL && node->state == NODE_LEAVING
             && now < core->drain.linger_until);
}

/* Return whether this node has proposed its removal and not yet read it back
   from the log.  */
gboolean
drain_has_proposed_removal (const struct core *core)
{
  guint i;

  if (!core->drain.is_requested)
    return FALSE;
  for (i = 0; i < core->outbox.items->len; i++)
    {
      const struct record *record
          = &g_array_index (core->outbox.items, struct outbox_item, i).record;
      if (record->kind == RECORD_REMOVED
          && record->body.removed.incarnation == core->settings.incarnation)
        return TRUE;
    }
  return FALSE;
}

/* Propose the record that this node wants no new work.  */
static void
propose_leaving (struct core *core)
{
  if (outbox_has (&core->outbox, RECORD_LEAVING))
    return;
  outbox_propose (&core->outbox, RECORD_LEAVING)->body.leaving.incarnation
      = core->settings.incarnation;
}

/* Propose the record that this node owns nothing any more.  */
static void
propose_removal (struct core *core, struct actions *out)
{
  struct record_removed *body;

  if (drain_has_proposed_removal (core))
    return;
  body = &outbox_propose (&core->outbox, RECORD_REMOVED)->body.removed;
  body->incarnation = core->settings.incarnation;
  body->floor = core->lease.floor;
  body->cause = REMOVAL_LEFT;
  actions_add (out, ACTION_LOG_EVENT)->u.log_event.id = LOG_EVENT_DRAINED;
}

/* Return whether this node has been removed from the view, or never came into
   it.  */
static gboolean
is_removed (const struct core *core)
{
  return !handle_is_set (core->self)
         && (core->has_joined || !outbox_has (&core->outbox, RECORD_JOIN));
}

/* Run one step of the graceful stop at the tick EVENT.  The process ends only
   at a tick that no input follows in the same turn of the loop, since a
   request that is read after that is lost.  */
void
drain_step (struct core *core, const struct event_tick *event, gint64 now,
            struct actions *out)
{
  const struct view_node *node = view_node_at (&core->view, core->self);
  gboolean idle = event->pending_exchanges == 0 && core->requests.count == 0;

  if (!core->drain.is_requested || core->drain.exit_requested)
    return;
  if (node != NULL && node->state == NODE_LIVE)
    propose_leaving (core);
  else if (node != NULL && core->drain.linger_until == 0)
    core->drain.linger_until = now + DRAIN_LINGER_USEC;
  else if (node != NULL && node->owned_slice_count == 0 && idle
           && now >= core->drain.linger_until)
    propose_removal (core, out);
  else if (idle && !event->input_may_follow && is_removed (core))
    {
      core->drain.exit_requested = TRUE;
      actions_add (out, ACTION_EXIT);
    }
}
