#include "decide/move.h"

#include "decide/core.h"
#include "decide/inflight.h"
#include "decide/apply_owner.h"
#include "decide/move_begin.h"
#include "decide/move_receive.h"
#include "decide/peers.h"
#include "decide/slice.h"

#include <string.h>

#define RELEASE_RETRY_USEC ((gint64)300000) /* between calls to a receiver */

/* Life */

/* Set up without moves.  */
void
moves_init (struct moves *moves)
{
  moves->view_offset = 0;
  moves->pending_slices = g_array_new (FALSE, TRUE, sizeof (guint32));
  moves->handoffs = g_array_new (FALSE, TRUE, sizeof (struct move_handoff));
  moves->releases = g_array_new (FALSE, TRUE, sizeof (struct move_release));
  moves->reports = g_array_new (FALSE, TRUE, sizeof (struct move_report));
}

/* Release what MOVES holds.  */
void
moves_clear (struct moves *moves)
{
  g_array_free (moves->pending_slices, TRUE);
  g_array_free (moves->handoffs, TRUE);
  g_array_free (moves->releases, TRUE);
  g_array_free (moves->reports, TRUE);
}

/* The service of this node, or NULL.  */
static struct view_service *
own_service (const struct core *core)
{
  return view_find_service (&core->view, core->settings.service);
}

/* The pending slice at place I, with its number in NUMBER if not NULL.  */
const struct view_slice *
moves_pending_slice (const struct core *core, guint i, guint32 *number)
{
  guint32 slice = g_array_index (core->moves.pending_slices, guint32, i);

  if (number != NULL)
    *number = slice;
  return view_slice_at (own_service (core), slice);
}

/* Tell whether a pending move of SLICE concerns this node.  */
static gboolean
concerns_self (const struct core *core, const struct view_slice *slice)
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

/* Tell whether a slice that this node owns is pending GIVE.  */
static gboolean
give_is_pending (const struct core *core, const struct move_handoff *give)
{
  guint i;

  for (i = 0; i < core->moves.pending_slices->len; i++)
    {
      const struct view_slice *slice = moves_pending_slice (core, i, NULL);
      if (handle_equal (slice->owner, core->self)
          && slice->move_offset == give->move_offset
          && handle_equal (slice->receiver, give->receiver))
        return TRUE;
    }
  return FALSE;
}

/* Take the moves that concern this node from the view, if it has changed.  */
static void
follow_view (struct core *core)
{
  const struct view_service *service = own_service (core);
  guint32 i;

  if (core->moves.view_offset == core->view.applied_offset)
    return;
  core->moves.view_offset = core->view.applied_offset;
  g_array_set_size (core->moves.pending_slices, 0);
  for (i = 0; i < service->slices->len; i++)
    if (concerns_self (core, view_slice_at (service, i)))
      g_array_append_val (core->moves.pending_slices, i);
  for (i = core->moves.handoffs->len; i > 0; i--)
    if (!give_is_pending (core, &g_array_index (core->moves.handoffs,
                                                struct move_handoff, i - 1)))
      g_array_remove_index_fast (core->moves.handoffs, i - 1);
  move_receive_follow (core, service);
}

/* Ending the giving-up */

/* Count the requests of SLICE that the server beside this node runs or is to
   run.  A key may have become hot since its request came.  */
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

/* Tell whether no work is in flight for the slices of GIVE.  */
static gboolean
is_drained (const struct core *core, const struct move_handoff *give)
{
  const struct view_service *service = own_service (core);
  guint i;

  for (i = 0; i < core->moves.pending_slices->len; i++)
    {
      guint32 number;
      const struct view_slice *slice = moves_pending_slice (core, i, &number);
      if (handle_equal (slice->owner, core->self)
          && slice->move_offset == give->move_offset
          && handle_equal (slice->receiver, give->receiver)
          && moves_count_in_flight (core, service, number) > 0)
        return FALSE;
    }
  return TRUE;
}

/* Tell the receiver of GIVE that its slices are free.  */
static void
send_released (struct core *core, struct move_handoff *give, gint64 now,
               struct actions *out)
{
  const struct view_node *to = view_node_at (&core->view, give->receiver);
  struct action_peer_call *call;

  if (to == NULL || now < give->next_call_at)
    return;
  call = peers_call (core, to, PEER_RELEASED, now, out);
  call->body.u.released.incarnation = core->settings.incarnation;
  call->body.u.released.move_offset = give->move_offset;
  give->call_serial = call->serial;
  give->next_call_at = now + RELEASE_RETRY_USEC;
}

/* End GIVE, if a majority has acked the floor and no work is in flight.  */
static void
finish (struct core *core, struct move_handoff *give, gint64 now,
        struct actions *out)
{
  if (!lease_is_floor_acked (&core->lease, give->move_offset))
    return;
  if (!handle_equal (give->receiver, core->self))
    {
      if (is_drained (core, give))
        send_released (core, give, now, out);
      return;
    }
  if (!give->moved_proposed)
    move_receive_propose (core, core->settings.incarnation, give->move_offset,
                          FALSE);
  give->moved_proposed = TRUE;
}

/* Do what moves need now.  */
void
moves_step (struct core *core, gint64 now, struct actions *out)
{
  guint i;

  if (!apply_node_is_alive (&core->view, core->self)
      || own_service (core) == NULL)
    return;
  follow_view (core);
  move_begin_handoffs (core, now, out);
  for (i = 0; i < core->moves.handoffs->len; i++)
    finish (core,
            &g_array_index (core->moves.handoffs, struct move_handoff, i), now,
            out);
  move_receive_step (core, now, out);
}

/* A node answered a call about moves.  */
void
moves_on_reply (struct core *core, const struct event_peer_reply *reply)
{
  guint i;

  for (i = 0; i < core->moves.handoffs->len; i++)
    {
      struct move_handoff *give
          = &g_array_index (core->moves.handoffs, struct move_handoff, i);
      if (give->call_serial == reply->serial)
        give->next_call_at = G_MAXINT64;
    }
  for (i = 0; i < core->moves.reports->len; i++)
    {
      struct move_report *tell
          = &g_array_index (core->moves.reports, struct move_report, i);
      if (tell->call_serial == reply->serial)
        tell->acked_offset = MAX (tell->acked_offset, tell->sent_offset);
    }
}
