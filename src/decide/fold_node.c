#include "decide/fold.h"

#include <string.h>

/* Retire nodes whose address JOIN takes: a process that holds their port
   proves that they are dead.  */
static void
retire_predecessors (struct view *view, const struct record_join *join)
{
  struct handle h = table_next (&view->nodes, HANDLE_NONE);

  for (; handle_is_set (h); h = table_next (&view->nodes, h))
    {
      struct view_node *node = view_node_at (view, h);
      if (node->join.incarnation != join->incarnation
          && address_equal (node->join.peer, join->peer))
        node->state = NODE_RETIRED;
    }
}

/* Add a node, unless it is in the view or has been out.  */
void
fold_join (struct view *view, guint64 offset, const struct record_join *body,
           struct actions *out)
{
  struct note *note;

  if (handle_is_set (view_find_node (view, body->incarnation))
      || view_was_out (view, body->incarnation))
    return;
  retire_predecessors (view, body);
  view_add_node (view, body, offset);
  note = fold_note (out, NOTE_NODE_JOIN, offset);
  note->node = body->incarnation;
  g_strlcpy (note->service, body->service, sizeof note->service);
  g_strlcpy (note->text, body->host, sizeof note->text);
}

/* Mark a node that wants no new work.  */
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

/* Give a node its witness set, if the set it replaces is the one that the
   writer saw.  The set before stays beside it until the next change.  */
void
fold_witness (struct view *view, guint64 offset,
              const struct record_witness *body, struct actions *out)
{
  struct view_node *node
      = view_node_at (view, view_find_node (view, body->incarnation));

  if (node == NULL || node->witness_epoch != body->epoch
      || body->count > WITNESS_MAX)
    return;
  node->before_count = node->witness_count;
  memcpy (node->before, node->witnesses, sizeof node->before);
  node->witness_epoch = offset;
  node->witness_count = body->count;
  memcpy (node->witnesses, body->set, sizeof node->witnesses);
  fold_note (out, NOTE_WITNESS_SET, offset)->node = body->incarnation;
}
