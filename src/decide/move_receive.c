#include "decide/move_receive.h"

#include "decide/core.h"
#include "decide/apply_owner.h"
#include "decide/peers.h"

/* Time between calls to an owner.  */
#define REPORT_RETRY_USEC ((gint64)300000)

/* Successor */

/* Add a report to the owner of SLICE, of which this node is a successor, that
   this node has applied the move of the slice.  */
static void
add_report (struct core *core, const struct view_slice *slice)
{
  struct move_report report
      = { .owner = slice->owner, .move_offset = slice->move_offset };
  guint i;

  for (i = 0; i < core->moves.reports->len; i++)
    {
      struct move_report *known
          = &g_array_index (core->moves.reports, struct move_report, i);
      if (!handle_equal (known->owner, slice->owner))
        continue;
      known->move_offset = MAX (known->move_offset, slice->move_offset);
      return;
    }
  g_array_append_val (core->moves.reports, report);
}

/* Return whether this node is a successor of SLICE.  */
static gboolean
is_successor (const struct core *core, const struct view_slice *slice)
{
  guint i;

  for (i = 0; i < SUCCESSOR_MAX; i++)
    if (handle_equal (slice->successors[i], core->self))
      return TRUE;
  return FALSE;
}

/* Update the list of owners that wait for a report from this node.  */
static void
update_reports (struct core *core, const struct view_service *service)
{
  guint i;

  for (i = 0; i < core->moves.reports->len; i++)
    g_array_index (core->moves.reports, struct move_report, i).move_offset = 0;
  for (i = 0; i < core->moves.pending_slices->len; i++)
    {
      const struct view_slice *slice = view_slice_at (
          service, g_array_index (core->moves.pending_slices, guint32, i));
      if (is_successor (core, slice)
          && !handle_equal (slice->owner, core->self)
          && apply_node_is_alive (&core->view, slice->owner))
        add_report (core, slice);
    }
  for (i = core->moves.reports->len; i > 0; i--)
    if (g_array_index (core->moves.reports, struct move_report, i - 1)
            .move_offset
        == 0)
      g_array_remove_index_fast (core->moves.reports, i - 1);
}

/* Report to the owners how far this node has applied the log.  */
static void
send_reports (struct core *core, gint64 now, struct actions *out)
{
  guint i;

  for (i = 0; i < core->moves.reports->len; i++)
    {
      struct move_report *report
          = &g_array_index (core->moves.reports, struct move_report, i);
      const struct view_node *owner
          = view_node_at (&core->view, report->owner);
      struct action_peer_call *call;
      if (owner == NULL || report->acked_offset > report->move_offset
          || now < report->next_call_at)
        continue;
      call = peers_call (core, owner, PEER_APPLIED, now, out);
      call->body.u.applied.incarnation = core->settings.incarnation;
      call->body.u.applied.applied_offset = core->view.applied_offset;
      report->call_serial = call->serial;
      report->sent_offset = core->view.applied_offset;
      report->next_call_at = now + REPORT_RETRY_USEC;
    }
}

/* Receiver */

/* Return whether SLICE is pending the move at OFFSET from the incarnation
   OWNER to this node.  */
static gboolean
is_receiving (const struct core *core, const struct view_slice *slice,
              guint64 owner, guint64 offset)
{
  return slice->move_offset == offset
         && handle_equal (slice->receiver, core->self)
         && view_incarnation (&core->view, slice->owner) == owner;
}

/* Return whether the owner of SLICE has told this node, the receiver of its
   move, that the slice is released.  */
gboolean
moves_was_released (const struct core *core, const struct view_slice *slice)
{
  guint i;

  for (i = 0; i < core->moves.releases->len; i++)
    {
      const struct move_release *release
          = &g_array_index (core->moves.releases, struct move_release, i);
      if (is_receiving (core, slice, release->owner, release->move_offset))
        return !release->is_declined;
    }
  return FALSE;
}

/* Handle the call of an owner that has released the slices of a move to this
   node.  */
void
moves_on_released (struct core *core, const struct peer_released *call)
{
  struct move_release release
      = { .owner = call->incarnation, .move_offset = call->move_offset };
  guint i;

  for (i = 0; i < core->moves.releases->len; i++)
    {
      const struct move_release *known
          = &g_array_index (core->moves.releases, struct move_release, i);
      if (known->owner == release.owner
          && known->move_offset == release.move_offset)
        return;
    }
  g_array_append_val (core->moves.releases, release);
}

/* Propose the record `moved' for the slices that this node receives from OWNER
   by the move at offset MOVE_OFFSET.  The record names this node as their
   owner, or no owner if the move is DECLINED.  */
void
move_receive_propose (struct core *core, guint64 owner, guint64 move_offset,
                      gboolean declined)
{
  const struct view_service *service
      = view_find_service (&core->view, core->settings.service);
  GArray *items = g_array_new (FALSE, TRUE, sizeof (struct record_slice));
  struct record_slices *body;
  guint i;

  for (i = 0; i < core->moves.pending_slices->len; i++)
    {
      guint32 number = g_array_index (core->moves.pending_slices, guint32, i);
      struct record_slice item
          = { .slice = number,
              .epoch = move_offset,
              .owner = declined ? 0 : core->settings.incarnation };
      if (is_receiving (core, view_slice_at (service, number), owner,
                        move_offset))
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

/* Decline the moves to this node whose owner is replaced and has not sent
   `released': a replaced node is dead and never will.  */
static void
decline_moves (struct core *core, const struct view_service *service)
{
  guint i;
  guint k;

  for (i = 0; i < core->moves.pending_slices->len; i++)
    {
      const struct view_slice *slice = view_slice_at (
          service, g_array_index (core->moves.pending_slices, guint32, i));
      struct move_release declined
          = { .owner = view_incarnation (&core->view, slice->owner),
              .move_offset = slice->move_offset,
              .is_declined = TRUE };
      if (!handle_equal (slice->receiver, core->self)
          || apply_node_is_alive (&core->view, slice->owner))
        continue;
      for (k = 0; k < core->moves.releases->len; k++)
        {
          const struct move_release *known
              = &g_array_index (core->moves.releases, struct move_release, k);
          if (known->owner == declined.owner
              && known->move_offset == declined.move_offset)
            break;
        }
      if (k == core->moves.releases->len)
        g_array_append_val (core->moves.releases, declined);
    }
}

/* Return whether a slice is still pending the move of RELEASE.  */
static gboolean
release_is_pending (const struct core *core,
                    const struct view_service *service,
                    const struct move_release *release)
{
  guint i;

  if (release->move_offset >= core->view.applied_offset)
    return TRUE;
  for (i = 0; i < core->moves.pending_slices->len; i++)
    if (is_receiving (
            core,
            view_slice_at (service, g_array_index (core->moves.pending_slices,
                                                   guint32, i)),
            release->owner, release->move_offset))
      return TRUE;
  return FALSE;
}

/* Propose the record `moved' for the moves that have been released to this
   node or declined by it.  */
static void
propose_moved (struct core *core)
{
  guint i;

  for (i = 0; i < core->moves.releases->len; i++)
    {
      struct move_release *release
          = &g_array_index (core->moves.releases, struct move_release, i);
      if (release->moved_proposed
          || release->move_offset >= core->view.applied_offset)
        continue;
      release->moved_proposed = TRUE;
      move_receive_propose (core, release->owner, release->move_offset,
                            release->is_declined);
    }
}

/* Steps */

/* Update reports and releases from the view of SERVICE.  */
void
move_receive_follow (struct core *core, const struct view_service *service)
{
  guint i;

  update_reports (core, service);
  for (i = core->moves.releases->len; i > 0; i--)
    if (!release_is_pending (
            core, service,
            &g_array_index (core->moves.releases, struct move_release, i - 1)))
      g_array_remove_index_fast (core->moves.releases, i - 1);
  decline_moves (core, service);
}

/* Run one step as successor and receiver.  */
void
move_receive_step (struct core *core, gint64 now, struct actions *out)
{
  send_reports (core, now, out);
  propose_moved (core);
}
