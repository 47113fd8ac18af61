#include "decide/move.h"

#include "decide/core.h"
#include "decide/flight.h"
#include "decide/fold_owner.h"
#include "decide/move_begin.h"
#include "decide/move_take.h"
#include "decide/peers.h"
#include "decide/slice.h"

#include <string.h>

#define RELEASE_AGAIN_USEC ((gint64)300000) /* between calls to a receiver */

/* Set-up */

/* Initialise MOVES without any move.  */
void
moves_init (struct moves *moves)
{
  moves->seen = 0;
  moves->pending = g_array_new (FALSE, TRUE, sizeof (guint32));
  moves->gives = g_array_new (FALSE, TRUE, sizeof (struct move_give));
  moves->released = g_array_new (FALSE, TRUE, sizeof (struct move_release));
  moves->tells = g_array_new (FALSE, TRUE, sizeof (struct move_tell));
}

/* Free the memory of MOVES.  */
void
moves_clear (struct moves *moves)
{
  g_array_free (moves->pending, TRUE);
  g_array_free (moves->gives, TRUE);
  g_array_free (moves->released, TRUE);
  g_array_free (moves->tells, TRUE);
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
moves_pending_at (const struct core *core, guint i, guint32 *number)
{
  guint32 slice = g_array_index (core->moves.pending, guint32, i);

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

  if (slice->move == 0)
    return FALSE;
  for (i = 0; i < SUCCESSOR_MAX; i++)
    if (handle_equal (slice->successor[i], core->self))
      return TRUE;
  return handle_equal (slice->owner, core->self)
         || handle_equal (slice->to, core->self);
}

/* Return whether a slice that this node owns is still pending in HANDOFF.  */
static gboolean
handoff_is_pending (const struct core *core, const struct move_give *handoff)
{
  guint i;

  for (i = 0; i < core->moves.pending->len; i++)
    {
      const struct view_slice *slice = moves_pending_at (core, i, NULL);
      if (handle_equal (slice->owner, core->self)
          && slice->move == handoff->move
          && handle_equal (slice->to, handoff->to))
        return TRUE;
    }
  return FALSE;
}

/* Update the lists of moves from the view, if it has changed.  */
static void
follow_view (struct core *core)
{
  const struct view_service *service = local_service (core);
  guint32 i;

  if (core->moves.seen == core->view.next)
    return;
  core->moves.seen = core->view.next;
  g_array_set_size (core->moves.pending, 0);
  for (i = 0; i < service->slices->len; i++)
    if (involves_self (core, view_slice_at (service, i)))
      g_array_append_val (core->moves.pending, i);
  for (i = core->moves.gives->len; i > 0; i--)
    if (!handoff_is_pending (
            core, &g_array_index (core->moves.gives, struct move_give, i - 1)))
      g_array_remove_index_fast (core->moves.gives, i - 1);
  move_take_follow (core, service);
}

/* End of a handoff */

/* Return the number of requests for SLICE of SERVICE that the backend server
   runs or that are queued for it.  Slices are computed anew since a key may
   have become hot after its request arrived.  */
guint
moves_in_flight (const struct core *core, const struct view_service *service,
                 guint32 slice)
{
  struct handle h = table_next (&core->flights, HANDLE_NONE);
  guint count = 0;

  for (; handle_is_set (h); h = table_next (&core->flights, h))
    {
      const struct flight *flight = table_get (&core->flights, h);
      if ((flight->phase == FLIGHT_RUNNING || flight->phase == FLIGHT_QUEUED)
          && strcmp (flight->request.service, service->config.name) == 0
          && slice_of_key (service, flight->request.key) == slice)
        count++;
    }
  return count;
}

/* Return whether no request is in flight for the slices of HANDOFF.  */
static gboolean
is_drained (const struct core *core, const struct move_give *handoff)
{
  const struct view_service *service = local_service (core);
  guint i;

  for (i = 0; i < core->moves.pending->len; i++)
    {
      guint32 number;
      const struct view_slice *slice = moves_pending_at (core, i, &number);
      if (handle_equal (slice->owner, core->self)
          && slice->move == handoff->move
          && handle_equal (slice->to, handoff->to)
          && moves_in_flight (core, service, number) > 0)
        return FALSE;
    }
  return TRUE;
}

/* Tell the receiver of HANDOFF that its slices are released.  */
static void
send_released (struct core *core, struct move_give *handoff, gint64 now,
               struct actions *out)
{
  const struct view_node *to = view_node_at (&core->view, handoff->to);
  struct action_call *call;

  if (to == NULL || now < handoff->next_send)
    return;
  call = peers_call (core, to, PEER_RELEASED, now, out);
  call->body.u.released.incarnation = core->settings.incarnation;
  call->body.u.released.offset = handoff->move;
  handoff->serial = call->serial;
  handoff->next_send = now + RELEASE_AGAIN_USEC;
}

/* Finish HANDOFF once a majority of the witnesses has acked the floor and no
   request is in flight for its slices.  */
static void
finish_handoff (struct core *core, struct move_give *handoff, gint64 now,
                struct actions *out)
{
  if (!lease_floor_acked (&core->lease, handoff->move))
    return;
  if (!handle_equal (handoff->to, core->self))
    {
      if (is_drained (core, handoff))
        send_released (core, handoff, now, out);
      return;
    }
  if (!handoff->proposed)
    move_take_propose (core, core->settings.incarnation, handoff->move, FALSE);
  handoff->proposed = TRUE;
}

/* Run one step: begin the handoffs that may begin, finish those that may end,
   and act as receiver and successor.  */
void
moves_step (struct core *core, gint64 now, struct actions *out)
{
  guint i;

  if (!fold_is_alive (&core->view, core->self) || local_service (core) == NULL)
    return;
  follow_view (core);
  move_begin_step (core, now, out);
  for (i = 0; i < core->moves.gives->len; i++)
    finish_handoff (core,
                    &g_array_index (core->moves.gives, struct move_give, i),
                    now, out);
  move_take_step (core, now, out);
}

/* Handle the reply of another node to a call about moves.  */
void
moves_on_reply (struct core *core, const struct event_peer_reply *reply)
{
  guint i;

  for (i = 0; i < core->moves.gives->len; i++)
    {
      struct move_give *handoff
          = &g_array_index (core->moves.gives, struct move_give, i);
      if (handoff->serial == reply->serial)
        handoff->next_send = G_MAXINT64;
    }
  for (i = 0; i < core->moves.tells->len; i++)
    {
      struct move_tell *report
          = &g_array_index (core->moves.tells, struct move_tell, i);
      if (report->serial == reply->serial)
        report->acked = MAX (report->acked, report->told);
    }
}
