#include "decide/fold.h"

#include "decide/fold_owner.h"

#include <string.h>

/* Return the node that listens on ADDRESS and has not been retired, or
   none.  */
static struct handle
find_by_address (const struct view *view, struct address address)
{
  struct handle h = table_next (&view->nodes, HANDLE_NONE);

  for (; handle_is_set (h); h = table_next (&view->nodes, h))
    {
      const struct view_node *node = view_node_at (view, h);
      if (node->state != NODE_RETIRED
          && address_equal (node->join.peer, address))
        return h;
    }
  return HANDLE_NONE;
}

/* Add a node, unless it is in the view or has been removed.  The join retires
   the previous node at the same address, because a process that has bound the
   port proves that the previous one is dead.  The join must name that node: a
   late append by a dead process then cannot retire its successor.  */
void
fold_join (struct view *view, guint64 offset, const struct record_join *body,
           struct actions *out)
{
  struct handle previous = find_by_address (view, body->peer);
  struct note *note;

  if (handle_is_set (view_find_node (view, body->incarnation))
      || view_was_out (view, body->incarnation))
    return;
  if (handle_is_set (previous)
      && view_incarnation (view, previous) != body->retires)
    {
      fold_note (out, NOTE_PLACE_DROPPED, offset)->node = body->incarnation;
      return;
    }
  if (handle_is_set (previous))
    {
      view_node_at (view, previous)->state = NODE_RETIRED;
      fold_owner_retired (view, previous, offset);
    }
  view_add_node (view, body, offset);
  note = fold_note (out, NOTE_NODE_JOIN, offset);
  note->node = body->incarnation;
  g_strlcpy (note->service, body->service, sizeof note->service);
  g_strlcpy (note->text, body->host, sizeof note->text);
}

/* Tell whether NODE has become the owner of slices after it proposed to
   leave.  Such a node serves nothing until it reads its removal back, so the
   record can be dropped.  */
static gboolean
owns_slices_again (const struct view_node *node, const struct record_out *body)
{
  return body->cause == OUT_LEFT && node->owned > 0;
}

/* Remove a node and pass its slices on.  If an operator declared the node
   dead, its floor is unknown: receivers of its moves may have been told that
   the slices are released, so the moves complete.  */
void
fold_out (struct view *view, guint64 offset, const struct record_out *body,
          struct actions *out)
{
  struct handle removed = view_find_node (view, body->incarnation);
  guint64 floor = body->cause == OUT_DECLARED ? G_MAXUINT64 : body->floor;
  struct note *note;

  if (!handle_is_set (removed))
    return;
  if (owns_slices_again (view_node_at (view, removed), body))
    {
      fold_note (out, NOTE_PLACE_DROPPED, offset)->node = body->incarnation;
      return;
    }
  view_remove_node (view, removed);
  fold_owner_out (view, removed, floor, offset);
  note = fold_note (out, NOTE_NODE_OUT, offset);
  note->node = body->incarnation;
  note->amount = body->cause;
}

/* Mark a node as leaving: it accepts no new work.  */
void
fold_leaving (struct view *view, guint64 offset,
              const struct record_leaving *body, struct actions *out)
{
  struct view_node *node
      = view_node_at (view, view_find_node (view, body->incarnation));

  if (node == NULL || node->state != NODE_LIVE)
    return;
  node->state = NODE_LEAVING;
  fold_note (out, NOTE_NODE_LEAVING, offset)->node = body->incarnation;
}

/* Replace the witness set of a node, if the set that the record replaces is
   still in force.  The previous set is kept beside the new one until the next
   change.  */
void
fold_witness (struct view *view, guint64 offset,
              const struct record_witness *body, struct actions *out)
{
  struct view_node *node
      = view_node_at (view, view_find_node (view, body->incarnation));

  if (node == NULL || node->witness_epoch != body->epoch || body->count == 0
      || body->count > WITNESS_MAX)
    return;
  node->before_count = node->witness_count;
  memcpy (node->before, node->witnesses, sizeof node->before);
  node->witness_epoch = offset;
  node->witness_count = body->count;
  memcpy (node->witnesses, body->set, sizeof node->witnesses);
  fold_note (out, NOTE_WITNESS_SET, offset)->node = body->incarnation;
}
