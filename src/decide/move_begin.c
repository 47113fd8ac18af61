#include "decide/move_begin.h"

#include "decide/core.h"
#include "decide/fold_owner.h"

/* Return the offset of the first move of this node's slices whose handoff has
   not begun, or G_MAXUINT64 if there is none.  No handoff with a higher offset
   may begin: handoffs begin in the order of their offsets, so that the floor
   tells exactly which of them have begun.  */
guint64
moves_limit (const struct core *core)
{
  guint64 limit = G_MAXUINT64;
  guint i;

  for (i = 0; i < core->moves.pending->len; i++)
    {
      const struct view_slice *slice = moves_pending_at (core, i, NULL);
      if (handle_equal (slice->owner, core->self)
          && slice->move > core->lease.floor)
        limit = MIN (limit, slice->move);
    }
  return limit;
}

/* Return whether each live successor of SLICE has applied its move.  */
static gboolean
successors_folded (const struct core *core, const struct view_slice *slice)
{
  guint i;

  for (i = 0; i < SUCCESSOR_MAX; i++)
    {
      struct handle h = slice->successor[i];
      if (fold_is_alive (&core->view, h) && !handle_equal (h, core->self)
          && !peers_has_folded (
              &core->peers, view_incarnation (&core->view, h), slice->move))
        return FALSE;
    }
  return TRUE;
}

/* Return whether the handoff of the move at OFFSET may begin at NOW: the live
   successors of all its slices have applied it, none of the slices waits for
   requests of its previous owner, and no earlier witness set is still to be
   adopted.  */
static gboolean
may_begin (const struct core *core, guint64 offset, gint64 now)
{
  const struct view_node *self = view_node_at (&core->view, core->self);
  guint i;

  if (self->witness_epoch < offset && self->witness_epoch != core->lease.epoch)
    return FALSE;
  for (i = 0; i < core->moves.pending->len; i++)
    {
      const struct view_slice *slice = moves_pending_at (core, i, NULL);
      if (handle_equal (slice->owner, core->self) && slice->move == offset
          && (hold_waits (&core->hold, slice->epoch, now)
              || !successors_folded (core, slice)))
        return FALSE;
    }
  return TRUE;
}

/* Begin the handoff of the move at OFFSET: admit no more requests for its
   slices and raise the floor.  Where only the successors change, this node
   continues to serve.  */
static void
begin_handoff (struct core *core, guint64 offset, struct actions *out)
{
  guint i;

  for (i = 0; i < core->moves.pending->len; i++)
    {
      guint32 number;
      const struct view_slice *slice = moves_pending_at (core, i, &number);
      struct move_give handoff = { .move = slice->move, .to = slice->to };
      struct note *note;
      guint k;
      if (!handle_equal (slice->owner, core->self) || slice->move != offset)
        continue;
      if (!handle_equal (slice->to, core->self))
        hold_give_up (&core->hold, number, slice->epoch);
      for (k = 0; k < core->moves.gives->len; k++)
        {
          const struct move_give *known
              = &g_array_index (core->moves.gives, struct move_give, k);
          if (known->move == handoff.move
              && handle_equal (known->to, handoff.to))
            break;
        }
      if (k == core->moves.gives->len)
        g_array_append_val (core->moves.gives, handoff);
      note = &actions_add (out, ACTION_NOTE)->u.note;
      note->id = NOTE_PLACE_RELEASED;
      note->offset = offset;
      note->slice = number;
      note->has_slice = TRUE;
      note->node = view_incarnation (&core->view, slice->to);
    }
  lease_raise_floor (&core->lease, offset);
}

/* Begin the handoffs that may begin, in the order of their offsets.  */
void
move_begin_step (struct core *core, gint64 now, struct actions *out)
{
  guint64 next = moves_limit (core);

  while (next != G_MAXUINT64 && may_begin (core, next, now))
    {
      begin_handoff (core, next, out);
      next = moves_limit (core);
    }
}
