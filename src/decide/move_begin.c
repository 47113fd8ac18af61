#include "decide/move_begin.h"

#include "decide/core.h"
#include "decide/apply_owner.h"

/* The offset of the first move of this node's slices that has not begun;
   G_MAXUINT64 if there is none.  No giving-up past it may begin: the floor
   then tells for certain which moves have begun.  */
guint64
moves_handoff_limit (const struct core *core)
{
  guint64 limit = G_MAXUINT64;
  guint i;

  for (i = 0; i < core->moves.pending_slices->len; i++)
    {
      const struct view_slice *slice = moves_pending_slice (core, i, NULL);
      if (handle_equal (slice->owner, core->self)
          && slice->move_offset > core->lease.floor)
        limit = MIN (limit, slice->move_offset);
    }
  return limit;
}

/* Tell whether each successor of SLICE that is alive has folded its move.  */
static gboolean
successors_folded (const struct core *core, const struct view_slice *slice)
{
  guint i;

  for (i = 0; i < SUCCESSOR_MAX; i++)
    {
      struct handle h = slice->successors[i];
      if (apply_node_is_alive (&core->view, h) && !handle_equal (h, core->self)
          && !peers_has_applied (&core->peers,
                                 view_incarnation (&core->view, h),
                                 slice->move_offset))
        return FALSE;
    }
  return TRUE;
}

/* Tell whether the move at OFFSET may begin at NOW: the successors of all its
   slices have folded it, none of them waits for an owner before, and no
   witness set before it waits to be taken over.  */
static gboolean
may_begin (const struct core *core, guint64 offset, gint64 now)
{
  const struct view_node *self = view_node_at (&core->view, core->self);
  guint i;

  if (self->witness_epoch < offset
      && self->witness_epoch != core->lease.witness_epoch)
    return FALSE;
  for (i = 0; i < core->moves.pending_slices->len; i++)
    {
      const struct view_slice *slice = moves_pending_slice (core, i, NULL);
      if (handle_equal (slice->owner, core->self)
          && slice->move_offset == offset
          && (guard_is_delayed (&core->guard, slice->epoch, now)
              || !successors_folded (core, slice)))
        return FALSE;
    }
  return TRUE;
}

/* Begin the move at OFFSET: admit no more for its slices and raise the floor.
   Where only the successors change, this node goes on serving.  */
static void
begin (struct core *core, guint64 offset, struct actions *out)
{
  guint i;

  for (i = 0; i < core->moves.pending_slices->len; i++)
    {
      guint32 number;
      const struct view_slice *slice = moves_pending_slice (core, i, &number);
      struct move_handoff give
          = { .move_offset = slice->move_offset, .receiver = slice->receiver };
      struct log_event *log_event;
      guint k;
      if (!handle_equal (slice->owner, core->self)
          || slice->move_offset != offset)
        continue;
      if (!handle_equal (slice->receiver, core->self))
        guard_begin_handoff (&core->guard, number, slice->epoch);
      for (k = 0; k < core->moves.handoffs->len; k++)
        {
          const struct move_handoff *known
              = &g_array_index (core->moves.handoffs, struct move_handoff, k);
          if (known->move_offset == give.move_offset
              && handle_equal (known->receiver, give.receiver))
            break;
        }
      if (k == core->moves.handoffs->len)
        g_array_append_val (core->moves.handoffs, give);
      log_event = &actions_add (out, ACTION_LOG_EVENT)->u.log_event;
      log_event->id = LOG_EVENT_PLACE_RELEASED;
      log_event->offset = offset;
      log_event->slice = number;
      log_event->has_slice = TRUE;
      log_event->node = view_incarnation (&core->view, slice->receiver);
    }
  lease_raise_floor (&core->lease, offset);
}

/* Begin the moves that may begin, in the order of their offsets.  */
void
move_begin_handoffs (struct core *core, gint64 now, struct actions *out)
{
  guint64 next = moves_handoff_limit (core);

  while (next != G_MAXUINT64 && may_begin (core, next, now))
    {
      begin (core, next, out);
      next = moves_handoff_limit (core);
    }
}
