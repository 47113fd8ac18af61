#include "decide/drain.h"

#include "decide/core.h"

/* Begin to leave; asking again changes nothing.  */
void
drain_begin (struct core *core)
{
  core->drain.is_requested = TRUE;
}

/* Tell whether this node takes new work of a service that is not divided.  A
   node that leaves does not, once it has read that on the log.  */
gboolean
drain_accepts_new (const struct core *core)
{
  const struct view_node *node = view_node_at (&core->view, core->self);

  return node != NULL ? node->state == NODE_LIVE : !core->has_joined;
}

/* Tell whether this node takes work of an undivided service that carries its
   stamp: a caller that was offered one has a while to use it.  */
gboolean
drain_accepts_stamped (const struct core *core, gint64 now)
{
  const struct view_node *node = view_node_at (&core->view, core->self);

  return drain_accepts_new (core)
         || (node != NULL && node->state == NODE_LEAVING
             && now < core->drain.linger_until);
}

/* Tell whether a record that this node is out is on its way.  */
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

/* Say on the log that this node wants no new work.  */
static void
propose_leaving (struct core *core)
{
  if (outbox_has (&core->outbox, RECORD_LEAVING))
    return;
  outbox_propose (&core->outbox, RECORD_LEAVING)->body.leaving.incarnation
      = core->settings.incarnation;
}

/* Say on the log that this node owns nothing any more.  */
static void
propose_out (struct core *core, struct actions *out)
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

/* Tell whether this node is out of the view, or never came into it.  */
static gboolean
is_out (const struct core *core)
{
  return !handle_is_set (core->self)
         && (core->has_joined || !outbox_has (&core->outbox, RECORD_JOIN));
}

/* Take the next step of leaving.  EXCHANGES are the requests that the edge
   still has in its hands.  */
void
drain_step (struct core *core, guint32 exchanges, gint64 now,
            struct actions *out)
{
  const struct view_node *node = view_node_at (&core->view, core->self);
  gboolean idle = exchanges == 0 && core->requests.count == 0;

  if (!core->drain.is_requested || core->drain.exit_requested)
    return;
  if (node != NULL && node->state == NODE_LIVE)
    propose_leaving (core);
  else if (node != NULL && core->drain.linger_until == 0)
    core->drain.linger_until = now + DRAIN_LINGER_USEC;
  else if (node != NULL && node->owned_slice_count == 0 && idle
           && now >= core->drain.linger_until)
    propose_out (core, out);
  else if (idle && is_out (core))
    {
      core->drain.exit_requested = TRUE;
      actions_add (out, ACTION_EXIT);
    }
}
