#include "decide/fold.h"

#include <string.h>

/* Give SLICE an owner as of OFFSET and end its pending move.  */
static void
set_owner (struct view *view, struct view_slice *slice, struct handle owner,
           const struct handle *successors, guint64 offset)
{
  struct view_node *old = view_node_at (view, slice->owner);
  struct view_node *new = view_node_at (view, owner);

  if (old != NULL)
    old->owned--;
  if (new != NULL)
    new->owned++;
  slice->owner = new != NULL ? owner : HANDLE_NONE;
  if (successors != slice->successor)
    memcpy (slice->successor, successors, sizeof slice->successor);
  slice->epoch = offset;
  slice->move = 0;
  slice->to = HANDLE_NONE;
  memset (slice->to_successor, 0, sizeof slice->to_successor);
}

/* The slice that ITEM names, if its epoch is the one expected.  */
static struct view_slice *
expected_slice (const struct view_service *service,
                const struct record_slice *item)
{
  struct view_slice *slice = view_slice_at (service, item->slice);

  return slice != NULL && slice->epoch == item->epoch ? slice : NULL;
}

/* Find the handles of the successors that ITEM names.  */
static void
find_successors (const struct view *view, const struct record_slice *item,
                 struct handle *successors)
{
  guint i;

  for (i = 0; i < SUCCESSOR_MAX; i++)
    successors[i] = view_find_node (view, item->successor[i]);
}

/* Give slices without an owner the owners that BODY names.  */
void
fold_assign (struct view *view, guint64 offset,
             const struct record_slices *body, struct actions *out)
{
  struct view_service *service = view_find_service (view, body->service);
  struct handle successors[SUCCESSOR_MAX];
  gint64 dropped = 0;
  guint i;

  for (i = 0; service != NULL && i < body->count; i++)
    {
      const struct record_slice *item = &body->items[i];
      struct view_slice *slice = expected_slice (service, item);
      struct handle owner = view_find_node (view, item->owner);
      if (slice == NULL || view_node_at (view, slice->owner) != NULL
          || !handle_is_set (owner))
        {
          dropped++;
          continue;
        }
      find_successors (view, item, successors);
      set_owner (view, slice, owner, successors, offset);
    }
  if (dropped > 0)
    fold_note (out, NOTE_PLACE_DROPPED, offset)->amount = dropped;
}

/* Begin the moves that BODY names.  */
void
fold_move (struct view *view, guint64 offset, const struct record_slices *body,
           struct actions *out)
{
  struct view_service *service = view_find_service (view, body->service);
  gint64 dropped = 0;
  guint i;

  for (i = 0; service != NULL && i < body->count; i++)
    {
      const struct record_slice *item = &body->items[i];
      struct view_slice *slice = expected_slice (service, item);
      struct handle to = view_find_node (view, item->owner);
      if (slice == NULL || slice->move != 0 || !handle_is_set (to)
          || view_node_at (view, slice->owner) == NULL)
        {
          dropped++;
          continue;
        }
      slice->move = offset;
      slice->to = to;
      find_successors (view, item, slice->to_successor);
    }
  if (dropped > 0)
    fold_note (out, NOTE_PLACE_DROPPED, offset)->amount = dropped;
}

/* End the moves that BODY names: their receivers own the slices.  The epoch
   of an item is the offset of the move.  */
void
fold_moved (struct view *view, guint64 offset,
            const struct record_slices *body, struct actions *out)
{
  struct view_service *service = view_find_service (view, body->service);
  gint64 dropped = 0;
  guint i;

  for (i = 0; service != NULL && i < body->count; i++)
    {
      const struct record_slice *item = &body->items[i];
      struct view_slice *slice = view_slice_at (service, item->slice);
      struct handle successors[SUCCESSOR_MAX];
      if (slice == NULL || slice->move == 0 || slice->move != item->epoch)
        {
          dropped++;
          continue;
        }
      memcpy (successors, slice->to_successor, sizeof successors);
      set_owner (view, slice, slice->to, successors, offset);
    }
  if (dropped > 0)
    fold_note (out, NOTE_PLACE_DROPPED, offset)->amount = dropped;
}

/* Pass SLICE on after its owner has gone out with FLOOR: to the receiver of
   its move if the giving-up had begun, otherwise to its first successor that
   is not out.  */
static void
inherit_slice (struct view *view, struct view_slice *slice, guint64 floor,
               guint64 offset)
{
  struct handle chain[1 + SUCCESSOR_MAX] = { HANDLE_NONE };
  struct handle rest[SUCCESSOR_MAX] = { HANDLE_NONE };
  guint i;

  if (slice->move != 0 && floor >= slice->move)
    {
      chain[0] = slice->to;
      memcpy (&chain[1], slice->to_successor, sizeof slice->to_successor);
    }
  else
    memcpy (chain, slice->successor, sizeof slice->successor);
  for (i = 0; i < G_N_ELEMENTS (chain); i++)
    if (view_node_at (view, chain[i]) != NULL)
      break;
  if (i == G_N_ELEMENTS (chain))
    {
      set_owner (view, slice, HANDLE_NONE, rest, offset);
      return;
    }
  if (i + 1 < G_N_ELEMENTS (chain))
    memcpy (rest, &chain[i + 1],
            (G_N_ELEMENTS (chain) - i - 1) * sizeof rest[0]);
  set_owner (view, slice, chain[i], rest, offset);
}

/* Tell whether NODE has come to own slices since it proposed that it has
   left.  It serves nothing while it waits to read that back, so the record
   can be dropped.  */
static gboolean
left_too_early (const struct view_node *node, const struct record_out *body)
{
  return body->cause == OUT_LEFT && node->owned > 0;
}

/* Remove a node and pass its slices on.  */
void
fold_out (struct view *view, guint64 offset, const struct record_out *body,
          struct actions *out)
{
  struct handle gone = view_find_node (view, body->incarnation);
  struct note *note;
  guint i;
  guint k;

  if (!handle_is_set (gone))
    return;
  if (left_too_early (view_node_at (view, gone), body))
    {
      fold_note (out, NOTE_PLACE_DROPPED, offset)->node = body->incarnation;
      return;
    }
  view_remove_node (view, gone);
  for (i = 0; i < view->services->len; i++)
    {
      struct view_service *service = g_ptr_array_index (view->services, i);
      for (k = 0; k < service->slices->len; k++)
        {
          struct view_slice *slice = view_slice_at (service, k);
          if (handle_equal (slice->owner, gone))
            inherit_slice (view, slice, body->floor, offset);
        }
    }
  note = fold_note (out, NOTE_NODE_OUT, offset);
  note->node = body->incarnation;
  note->amount = body->cause;
}

/* Give a hot key a slice of its own, owned as its hashed slice is, or take it
   away again once both are owned alike.  */
void
fold_hot (struct view *view, guint64 offset, const struct record_hot *body,
          struct actions *out)
{
  struct view_service *service = view_find_service (view, body->service);

  (void)service;
  fold_note (out, NOTE_PLACE_DROPPED, offset);
}
