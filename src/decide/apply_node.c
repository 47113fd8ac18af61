#include "decide/apply.h"

#include "decide/apply_owner.h"

#include <string.h>

/* Return the node that listens on ADDRESS and has not been replaced, or
   none.  */
static struct handle
find_by_address (const struct view *view, struct address address)
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

/* Add a node, unless it is in the view or has been removed.  The join replaces
   the previous node at the same address, because a process that has bound the
   port proves that the previous one is dead.  The join must name that node: a
   late append by a dead process then cannot replace its successor.  */
void
apply_join (struct view *view, guint64 offset, const struct record_join *body,
            struct actions *out)
{
  struct handle previous = find_by_address (view, body->peer_address);
  struct log_event *log_event;

  if (handle_is_set (view_find_node (view, body->incarnation))
      || view_was_removed (view, body->incarnation))
    return;
  if (handle_is_set (previous)
      && view_incarnation (view, previous) != body->replaced_incarnation)
    {
      apply_log (out, LOG_EVENT_PLACE_DROPPED, offset)->node
          = body->incarnation;
      return;
    }
  if (handle_is_set (previous))
    {
      view_node_at (view, previous)->state = NODE_REPLACED;
      apply_owner_replaced (view, previous, offset);
    }
  view_add_node (view, body, offset);
  log_event = apply_log (out, LOG_EVENT_NODE_JOIN, offset);
  log_event->node = body->incarnation;
  g_strlcpy (log_event->service, body->service, sizeof log_event->service);
  g_strlcpy (log_event->text, body->host, sizeof log_event->text);
}

/* Tell whether NODE has become the owner of slices after it proposed to
   leave.  Such a node serves nothing until it reads its removal back, so the
   record can be dropped.  */
static gboolean
owns_slices_again (const struct view_node *node,
                   const struct record_removed *body)
{
  return body->cause == REMOVAL_LEFT && node->owned_slice_count > 0;
}

/* Remove a node and pass its slices on.  If an operator declared the node
   dead, its floor is unknown: receivers of its moves may have been told that
   the slices are released, so the moves complete.  */
void
apply_removed (struct view *view, guint64 offset,
               const struct record_removed *body, struct actions *out)
{
  struct handle removed = view_find_node (view, body->incarnation);
  guint64 floor = body->cause == REMOVAL_DECLARED ? G_MAXUINT64 : body->floor;
  struct log_event *log_event;

  if (!handle_is_set (removed))
    return;
  if (owns_slices_again (view_node_at (view, removed), body))
    {
      apply_log (out, LOG_EVENT_PLACE_DROPPED, offset)->node
          = body->incarnation;
      return;
    }
  view_remove_node (view, removed);
  apply_owner_removed (view, removed, floor, offset);
  log_event = apply_log (out, LOG_EVENT_NODE_OUT, offset);
  log_event->node = body->incarnation;
  log_event->amount = body->cause;
}

/* Mark a node as leaving: it accepts no new work.  */
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

/* Replace the witness set of a node, if the set that the record replaces is
   still in force.  The previous set is kept beside the new one until the next
   change.  */
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
