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
      if (node->state != NODE_RETIRED
          && address_equal (node->join.peer, address))
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
  struct handle before = holder_of (view, body->peer);
  struct note *note;

  if (handle_is_set (view_find_node (view, body->incarnation))
      || view_was_out (view, body->incarnation))
    return;
  if (handle_is_set (before)
      && view_incarnation (view, before) != body->retires)
    {
      apply_log (out, NOTE_PLACE_DROPPED, offset)->node = body->incarnation;
      return;
    }
  if (handle_is_set (before))
    {
      view_node_at (view, before)->state = NODE_RETIRED;
      apply_owner_retired (view, before, offset);
    }
  view_add_node (view, body, offset);
  note = apply_log (out, NOTE_NODE_JOIN, offset);
  note->node = body->incarnation;
  g_strlcpy (note->service, body->service, sizeof note->service);
  g_strlcpy (note->text, body->host, sizeof note->text);
}

/* Tell whether NODE has come to own slices since it proposed that it has
   left.  It serves nothing while it waits to read that back, so the record
   can be dropped.  */
static gboolean
left_too_early (const struct view_node *node, const struct record_out *body)
{
  return body->cause == OUT_LEFT && node->owned > 0;
}

/* Remove a node and pass its slices on.  An operator who declares a node dead
   knows no floor: its receivers may have been told `released', so they get
   what they wait for.  */
void
apply_removed (struct view *view, guint64 offset, const struct record_out *body,
          struct actions *out)
{
  struct handle gone = view_find_node (view, body->incarnation);
  guint64 floor = body->cause == OUT_DECLARED ? G_MAXUINT64 : body->floor;
  struct note *note;

  if (!handle_is_set (gone))
    return;
  if (left_too_early (view_node_at (view, gone), body))
    {
      apply_log (out, NOTE_PLACE_DROPPED, offset)->node = body->incarnation;
      return;
    }
  view_remove_node (view, gone);
  apply_owner_removed (view, gone, floor, offset);
  note = apply_log (out, NOTE_NODE_OUT, offset);
  note->node = body->incarnation;
  note->amount = body->cause;
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
  apply_log (out, NOTE_NODE_LEAVING, offset)->node = body->incarnation;
}

/* Give a node its witness set, if the set it replaces is the one that the
   writer saw.  The set before stays beside it until the next change.  */
void
apply_witness (struct view *view, guint64 offset,
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
  apply_log (out, NOTE_WITNESS_SET, offset)->node = body->incarnation;
}
