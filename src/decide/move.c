#include "decide/move.h"

#include "decide/core.h"
#include "decide/inflight.h"
#include "decide/apply_owner.h"
#include "decide/move_begin.h"
#include "decide/move_receive.h"
#include "decide/peers.h"
#include "decide/slice.h"

#include <string.h>

/* Time between calls to a receiver.  */
#define RELEASE_RETRY_USEC ((gint64)300000)

/* Set-up */

/* Initialise MOVES without any move.  */
void
moves_init (struct moves *moves)
{
  moves->view_offset = 0;
  moves->pending_slices = g_array_new (FALSE, TRUE, sizeof (guint32));
  moves->handoffs = g_array_new (FALSE, TRUE, sizeof (struct move_handoff));
  moves->releases = g_array_new (FALSE, TRUE, sizeof (struct move_release));
  moves->reports = g_array_new (FALSE, TRUE, sizeof (struct move_report));
}

/* Free the memory of MOVES.  */
void
moves_clear (struct moves *moves)
{
  g_array_free (moves->pending_slices, TRUE);
  g_array_free (moves->handoffs, TRUE);
  g_array_free (moves->releases, TRUE);
  g_array_free (moves->reports, TRUE);
}

/* Return the service of this node, or NULL.  */
static struct view_service *
local_service (const struct core *core)
{
  return view_find_service (&core->view, core->settings.service);
}

/* Return the slice at index I of the pending ones.  Its number is stored in
   NUMBER if that is not NULL.  */
const struct view_slice *
moves_pending_slice (const struct core *core, guint i, guint32 *number)
{
  guint32 slice = g_array_index (core->moves.pending_slices, guint32, i);

  if (number != NULL)
    *number = slice;
  return view_slice_at (local_service (core), slice);
}

/* Return whether SLICE has a pending move that this node takes part in, as
   owner, receiver or successor.  */
static gboolean
involves_self (const struct core *core, const struct view_slice *slice)
{
  guint i;

  if (slice->move_offset == 0)
    return FALSE;
  for (i = 0; i < SUCCESSOR_MAX; i++)
    if (handle_equal (slice->successors[i], core->self))
      return TRUE;
  return handle_equal (slice->owner, core->self)
         || handle_equal (slice->receiver, core->self);
}

/* Return whether a slice that this node owns is still pending in HANDOFF.  */
static gboolean
handoff_is_pending (const struct core *core,
                    const struct move_handoff *handoff)
{
  guint i;

  for (i = 0; i < core->moves.pending_slices->len; i++)
    {
      const struct view_slice *slice = moves_pending_slice (core, i, NULL);
      if (handle_equal (slice->owner, core->self)
          && slice->move_offset == handoff->move_offset
          && handle_equal (slice->receiver, handoff->receiver))
        return TRUE;
    }
  return FALSE;
}

/* Update the lists of moves from the view, if it has changed.  */
static void
update_from_view (struct core *core)
{
  const struct view_service *service = local_service (core);
  guint32 i;

  if (core->moves.view_offset == core->view.applied_offset)
    return;
  core->moves.view_offset = core->view.applied_offset;
  g_array_set_size (core->moves.pending_slices, 0);
  for (i = 0; i < service->slices->len; i++)
    if (involves_self (core, view_slice_at (service, i)))
      g_array_append_val (core->moves.pending_slices, i);
  for (i = core->moves.handoffs->len; i > 0; i--)
    if (!handoff_is_pending (
            core,
            &g_array_index (core->moves.handoffs, struct move_handoff, i - 1)))
      g_array_remove_index_fast (core->moves.handoffs, i - 1);
  move_receive_follow (core, service);
}

/* End of a handoff */

/* Return the number of requests for SLICE of SERVICE that the backend server
   runs or that are queued for it.  Slices are computed anew since a key may
   have become hot after its request arrived.  */
guint
moves_count_in_flight (const struct core *core,
                       const struct view_service *service, guint32 slice)
{
  struct handle h = table_next (&core->requests, HANDLE_NONE);
  guint count = 0;

  for (; handle_is_set (h); h = table_next (&core->requests, h))
    {
      const struct inflight *inflight = table_get (&core->requests, h);
      if ((inflight->phase == INFLIGHT_RUNNING
           || inflight->phase == INFLIGHT_QUEUED)
          && strcmp (inflight->request.service, service->config.name) == 0
          && slice_of_key (service, inflight->request.key) == slice)
        count++;
    }
  return count;
}

/* Return whether no request is in flight for the slices of HANDOFF.  */
static gboolean
is_drained (const struct core *core, const struct move_handoff *handoff)
{
  const struct view_service *service = local_service (core);
  guint i;

  for (i = 0; i < core->moves.pending_slices->len; i++)
    {
      guint32 number;
      const struct view_slice *slice = moves_pending_slice (core, i, &number);
      if (handle_equal (slice->owner, core->self)
          && slice->move_offset == handoff->move_offset
          && handle_equal (slice->receiver, handoff->receiver)
          && moves_count_in_flight (core, service, number) > 0)
        return FALSE;
    }
  return TRUE;
}

/* Tell the receiver of HANDOFF that its slices are released.  */
static void
send_released (struct core *core, struct move_handoff *handoff, gint64 now,
               struct actions *out)
{
  const struct view_node *receiver
      = view_node_at (&core->view, handoff->receiver);
  struct action_peer_call *call;

  if (receiver == NULL || now < handoff->next_call_at)
    return;
  call = peers_call (core, receiver, PEER_RELEASED, now, out);
  call->body.u.released.incarnation = core->settings.incarnation;
  call->body.u.released.move_offset = handoff->move_offset;
  handoff->call_serial = call->serial;
  handoff->next_call_at = now + RELEASE_RETRY_USEC;
}

/* Finish HANDOFF once a majority of the witnesses has acked the floor and no
   request is in flight for its slices.  */
static void
finish_handoff (struct core *core, struct move_handoff *handoff, gint64 now,
                struct actions *out)
{
  if (!lease_is_floor_acked (&core->lease, handoff->move_offset))
    return;
  if (!handle_equal (handoff->receiver, core->self))
    {
      if (is_drained (core, handoff))
        send_released (core, handoff, now, out);
      return;
    }
  if (!handoff->moved_proposed)
    move_receive_propose (core, core->settings.incarnation,
                          handoff->move_offset, FALSE);
  handoff->moved_proposed = TRUE;
}

/* Run one step: begin the handoffs that may begin, finish those that may end,
   and act as receiver and successor.  */
void
moves_step (struct core *core, gint64 now, struct actions *out)
{
  guint i;

  if (!apply_node_is_alive (&core->view, core->self)
      || local_service (core) == NULL)
    return;
  update_from_view (core);
  move_begin_handoffs (core, now, out);
  for (i = 0; i < core->moves.handoffs->len; i++)
    finish_handoff (
        core, &g_array_index (core->moves.handoffs, struct move_handoff, i),
        now, out);
  move_receive_step (core, now, out);
}

/* Handle the reply of another node to a call about moves.  */
void
moves_on_reply (struct core *core, const struct event_peer_reply *reply)
{
  guint i;

  for (i = 0; i < core->moves.handoffs->len; i++)
    {
      struct move_handoff *handoff
          = &g_array_index (core->moves.handoffs, struct move_handoff, i);
      if (handoff->call_serial == reply->serial)
        handoff->next_call_at = G_MAXINT64;
    }
  for (i = 0; i < core->moves.reports->len; i++)
    {
      struct move_report *report
          = &g_array_index (core->moves.reports, struct move_report, i);
      if (report->call_serial == reply->serial)
        report->acked_offset = MAX (report->acked_offset, report->sent_offset);
    }
}
