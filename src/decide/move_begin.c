#include "decide/move_begin.h"

#include "decide/core.h"
#include "decide/apply_owner.h"

/* Return the offset of the first move of this node's slices whose handoff has
   not begun, or G_MAXUINT64 if there is none.  No handoff with a higher offset
   may begin: handoffs begin in the order of their offsets, so that the floor
   tells exactly which of them have begun.  */
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

/* Return whether each live successor of SLICE has applied its move.  */
static gboolean
successors_have_applied (const struct core *core,
                         const struct view_slice *slice)
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

/* Return whether the handoff of the move at OFFSET may begin at NOW: the live
   successors of all its slices have applied the move, none of the slices waits
   for requests of its previous owner, and no earlier witness set is still to
   be adopted.  */
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
              || !successors_have_applied (core, slice)))
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

  for (i = 0; i < core->moves.pending_slices->len; i++)
    {
      guint32 number;
      const struct view_slice *slice = moves_pending_slice (core, i, &number);
      struct move_handoff handoff
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
          if (known->move_offset == handoff.move_offset
              && handle_equal (known->receiver, handoff.receiver))
            break;
        }
      if (k == core->moves.handoffs->len)
        g_array_append_val (core->moves.handoffs, handoff);
      log_event = &actions_add (out, ACTION_LOG_EVENT)->u.log_event;
      log_event->id = LOG_EVENT_PLACE_RELEASED;
      log_event->offset = offset;
      log_event->slice = number;
      log_event->has_slice = TRUE;
      log_event->node = view_incarnation (&core->view, slice->receiver);
    }
  lease_raise_floor (&core->lease, offset);
}

/* Begin the handoffs that may begin, in the order of their offsets.  */
void
move_begin_handoffs (struct core *core, gint64 now, struct actions *out)
{
  guint64 next = moves_handoff_limit (core);

  while (next != G_MAXUINT64 && may_begin (core, next, now))
    {
      begin_handoff (core, next, out);
      next = moves_handoff_limit (core);
    }
}
