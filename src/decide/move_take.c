#include "decide/move_take.h"

#include "decide/core.h"
#include "decide/fold_owner.h"
#include "decide/peers.h"

#define TELL_AGAIN_USEC ((gint64)300000) /* between calls to an owner */

/* Successor */

/* Add a report to the owner of SLICE, of which this node is a successor, that
   this node has applied the move of the slice.  */
static void
add_report (struct core *core, const struct view_slice *slice)
{
  struct move_tell report = { .owner = slice->owner, .move = slice->move };
  guint i;

  for (i = 0; i < core->moves.tells->len; i++)
    {
      struct move_tell *known
          = &g_array_index (core->moves.tells, struct move_tell, i);
      if (!handle_equal (known->owner, slice->owner))
        continue;
      known->move = MAX (known->move, slice->move);
      return;
    }
  g_array_append_val (core->moves.tells, report);
}

/* Return whether this node is a successor of SLICE.  */
static gboolean
is_successor (const struct core *core, const struct view_slice *slice)
{
  guint i;

  for (i = 0; i < SUCCESSOR_MAX; i++)
    if (handle_equal (slice->successor[i], core->self))
      return TRUE;
  return FALSE;
}

/* Update the list of owners that wait for a report from this node.  */
static void
update_reports (struct core *core, const struct view_service *service)
{
  guint i;

  for (i = 0; i < core->moves.tells->len; i++)
    g_array_index (core->moves.tells, struct move_tell, i).move = 0;
  for (i = 0; i < core->moves.pending->len; i++)
    {
      const struct view_slice *slice = view_slice_at (
          service, g_array_index (core->moves.pending, guint32, i));
      if (is_successor (core, slice)
          && !handle_equal (slice->owner, core->self)
          && fold_is_alive (&core->view, slice->owner))
        add_report (core, slice);
    }
  for (i = core->moves.tells->len; i > 0; i--)
    if (g_array_index (core->moves.tells, struct move_tell, i - 1).move == 0)
      g_array_remove_index_fast (core->moves.tells, i - 1);
}

/* Report to the owners how far this node has applied the log.  */
static void
send_reports (struct core *core, gint64 now, struct actions *out)
{
  guint i;

  for (i = 0; i < core->moves.tells->len; i++)
    {
      struct move_tell *report
          = &g_array_index (core->moves.tells, struct move_tell, i);
      const struct view_node *owner
          = view_node_at (&core->view, report->owner);
      struct action_call *call;
      if (owner == NULL || report->acked > report->move
          || now < report->next_send)
        continue;
      call = peers_call (core, owner, PEER_FOLDED, now, out);
      call->body.u.folded.incarnation = core->settings.incarnation;
      call->body.u.folded.offset = core->view.next;
      report->serial = call->serial;
      report->told = core->view.next;
      report->next_send = now + TELL_AGAIN_USEC;
    }
}

/* Receiver */

/* Return whether SLICE is pending the move at OFFSET from the incarnation
   OWNER to this node.  */
static gboolean
is_receiving (const struct core *core, const struct view_slice *slice,
              guint64 owner, guint64 offset)
{
  return slice->move == offset && handle_equal (slice->to, core->self)
         && view_incarnation (&core->view, slice->owner) == owner;
}

/* Return whether the owner of SLICE has told this node, the receiver of its
   move, that the slice is released.  */
gboolean
moves_was_released (const struct core *core, const struct view_slice *slice)
{
  guint i;

  for (i = 0; i < core->moves.released->len; i++)
    {
      const struct move_release *release
          = &g_array_index (core->moves.released, struct move_release, i);
      if (is_receiving (core, slice, release->owner, release->move))
        return !release->declined;
    }
  return FALSE;
}

/* Handle the call of an owner that has released the slices of a move to this
   node.  */
void
moves_on_released (struct core *core, const struct peer_released *call)
{
  struct move_release release
      = { .owner = call->incarnation, .move = call->offset };
  guint i;

  for (i = 0; i < core->moves.released->len; i++)
    {
      const struct move_release *known
          = &g_array_index (core->moves.released, struct move_release, i);
      if (known->owner == release.owner && known->move == release.move)
        return;
    }
  g_array_append_val (core->moves.released, release);
}

/* Propose the record `moved' for the slices that this node receives from OWNER
   by the move at offset MOVE.  It names this node as their owner, or no owner
   if the move is DECLINED.  */
void
move_take_propose (struct core *core, guint64 owner, guint64 move,
                   gboolean declined)
{
  const struct view_service *service
      = view_find_service (&core->view, core->settings.service);
  GArray *items = g_array_new (FALSE, TRUE, sizeof (struct record_slice));
  struct record_slices *body;
  guint i;

  for (i = 0; i < core->moves.pending->len; i++)
    {
      guint32 number = g_array_index (core->moves.pending, guint32, i);
      struct record_slice item
          = { .slice = number,
              .epoch = move,
              .owner = declined ? 0 : core->settings.incarnation };
      if (is_receiving (core, view_slice_at (service, number), owner, move))
        g_array_append_val (items, item);
    }
  if (items->len > 0)
    {
      body = &outbox_propose (&core->outbox, RECORD_MOVED)->body.slices;
      g_strlcpy (body->service, service->config.name, sizeof body->service);
      body->count = items->len;
      body->items
          = g_memdup2 (items->data, items->len * sizeof (struct record_slice));
    }
  g_array_free (items, TRUE);
}

/* Decline the moves to this node whose owner is retired and has not sent
   `released': a retired node is dead and never will.  */
static void
decline_moves (struct core *core, const struct view_service *service)
{
  guint i;
  guint k;

  for (i = 0; i < core->moves.pending->len; i++)
    {
      const struct view_slice *slice = view_slice_at (
          service, g_array_index (core->moves.pending, guint32, i));
      struct move_release declined
          = { .owner = view_incarnation (&core->view, slice->owner),
              .move = slice->move,
              .declined = TRUE };
      if (!handle_equal (slice->to, core->self)
          || fold_is_alive (&core->view, slice->owner))
        continue;
      for (k = 0; k < core->moves.released->len; k++)
        {
          const struct move_release *known
              = &g_array_index (core->moves.released, struct move_release, k);
          if (known->owner == declined.owner && known->move == declined.move)
            break;
        }
      if (k == core->moves.released->len)
        g_array_append_val (core->moves.released, declined);
    }
}

/* Return whether a slice is still pending the move of RELEASE.  */
static gboolean
release_is_pending (const struct core *core,
                    const struct view_service *service,
                    const struct move_release *release)
{
  guint i;

  if (release->move >= core->view.next)
    return TRUE;
  for (i = 0; i < core->moves.pending->len; i++)
    if (is_receiving (
            core,
            view_slice_at (service,
                           g_array_index (core->moves.pending, guint32, i)),
            release->owner, release->move))
      return TRUE;
  return FALSE;
}

/* Propose the record `moved' for the moves that have been released to this
   node or declined by it.  */
static void
propose_moved (struct core *core)
{
  guint i;

  for (i = 0; i < core->moves.released->len; i++)
    {
      struct move_release *release
          = &g_array_index (core->moves.released, struct move_release, i);
      if (release->proposed || release->move >= core->view.next)
        continue;
      release->proposed = TRUE;
      move_take_propose (core, release->owner, release->move,
                         release->declined);
    }
}

/* Steps */

/* Update reports and releases from the view of SERVICE.  */
void
move_take_follow (struct core *core, const struct view_service *service)
{
  guint i;

  update_reports (core, service);
  for (i = core->moves.released->len; i > 0; i--)
    if (!release_is_pending (
            core, service,
            &g_array_index (core->moves.released, struct move_release, i - 1)))
      g_array_remove_index_fast (core->moves.released, i - 1);
  decline_moves (core, service);
}

/* Run one step as successor and receiver.  */
void
move_take_step (struct core *core, gint64 now, struct actions *out)
{
  send_reports (core, now, out);
  propose_moved (core);
}
