#include "decide/apply.h"

#include "decide/apply_owner.h"

#include <string.h>

/* The node that has not been retired from ADDRESS, or none.  */
static struct handle
holder_of (const struct view *view, struct address address)
{
  struct handle h = table_next (&view->nodes, HANDLE_NONE);

  for (; handle_is_set (h); h = table_next (&view->nodes, h))
    {
      const struct view_node *node = view_node_at (view, h);
      if (node->state != NODE_REPLACED
          && address_equal (node->join.peer_address, address))
        return h;
    }
  return HANDLE_NONE;
}

/* Add a node, unless it is in the view or has been out.  It retires the node
   that held its address, because a process that holds a port proves that the
   one before it is dead.  The join must name that node: an append of a dead
   process that takes effect late then cannot retire the one after it.  */
void
apply_join (struct view *view, guint64 offset, const struct record_join *body,
            struct actions *out)
{
  struct handle before = holder_of (view, body->peer_address);
  struct log_event *log_event;

  if (handle_is_set (view_find_node (view, body->incarnation))
      || view_was_removed (view, body->incarnation))
    return;
  if (handle_is_set (before)
      && view_incarnation (view, before) != body->replaced_incarnation)
    {
      apply_log (out, LOG_EVENT_PLACE_DROPPED, offset)->node
          = body->incarnation;
      return;
    }
  if (handle_is_set (before))
    {
      view_node_at (view, before)->state = NODE_REPLACED;
      apply_owner_retired (view, before, offset);
    }
  view_add_node (view, body, offset);
  log_event = apply_log (out, LOG_EVENT_NODE_JOIN, offset);
  log_event->node = body->incarnation;
  g_strlcpy (log_event->service, body->service, sizeof log_event->service);
  g_strlcpy (log_event->text, body->host, sizeof log_event->text);
}

/* Tell whether NODE has come to own slices since it proposed that it has
   left.  It serves nothing while it waits to read that back, so the record
   can be dropped.  */
static gboolean
left_too_early (const struct view_node *node,
                const struct record_removed *body)
{
  return body->cause == REMOVAL_LEFT && node->owned_slice_count > 0;
}

/* Remove a node and pass its slices on.  An operator who declares a node dead
   knows no floor: its receivers may have been told `released', so they get
   what they wait for.  */
void
apply_removed (struct view *view, guint64 offset,
               const struct record_removed *body, struct actions *out)
{
  struct handle gone = view_find_node (view, body->incarnation);
  guint64 floor = body->cause == REMOVAL_DECLARED ? G_MAXUINT64 : body->floor;
  struct log_event *log_event;

  if (!handle_is_set (gone))
    return;
  if (left_too_early (view_node_at (view, gone), body))
    {
      apply_log (out, LOG_EVENT_PLACE_DROPPED, offset)->node
          = body->incarnation;
      return;
    }
  view_remove_node (view, gone);
  apply_owner_removed (view, gone, floor, offset);
  log_event = apply_log (out, LOG_EVENT_NODE_OUT, offset);
  log_event->node = body->incarnation;
  log_event->amount = body->cause;
}

/* Mark a node that wants no new work.  */
void
apply_leaving (struct view *view, guint64 offset,
               const struct record_leaving *body, struct actions *out)
{
  struct view_node *node
      = view_node_at (view, view_find_node (view, body->incarnation));

  if (node == NULL || node->state != NODE_LIVE)
    return;
  node->state = NODE_LEAVING;
  apply_log (out, LOG_EVENT_NODE_LEAVING, offset)->node = body->incarnation;
}

/* Give a node its witness set, if the set it replaces is the one that the
   writer saw.  The set before stays beside it until the next change.  */
void
apply_witness (struct view *view, guint64 offset,
               const struct record_witness_set *body, struct actions *out)
{
  struct view_node *node
      = view_node_at (view, view_find_node (view, body->incarnation));

  if (node == NULL || node->witness_epoch != body->replaced_epoch
      || body->witness_count == 0 || body->witness_count > WITNESS_MAX)
    return;
  node->previous_witness_count = node->witness_count;
  memcpy (node->previous_witnesses, node->witnesses,
          sizeof node->previous_witnesses);
  node->witness_epoch = offset;
  node->witness_count = body->witness_count;
  memcpy (node->witnesses, body->witnesses, sizeof node->witnesses);
  apply_log (out, LOG_EVENT_WITNESS_SET, offset)->node = body->incarnation;
}
