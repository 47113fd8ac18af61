#include "decide/lease.h"

#include "decide/lease_quorum.h"
#include "decide/timing.h"

#include <string.h>

/* Work out when the lease ends from what the witnesses have acked.  */
static void
update_until (struct lease *lease)
{
  gint64 acked
      = quorum_acked_at (lease, lease->witnesses, lease->witness_count);

  if (lease->is_joint)
    {
      gint64 before = quorum_acked_at (lease, lease->old_witnesses,
                                       lease->old_witness_count);
      acked = MIN (acked, before);
    }
  if (acked > 0 && acked + LEASE_USEC > lease->expires_at)
    lease->expires_at = acked + LEASE_USEC;
}

/* Witness sets */

/* Add the witnesses of SET to PEERS, keeping what is known of them.  */
static guint32
collect_peers (struct lease *lease, struct lease_witness *peers, guint32 count,
               const guint64 *set, guint32 size)
{
  guint32 i;
  guint32 k;

  for (i = 0; i < size; i++)
    {
      const struct lease_witness *known = lease_find_witness (lease, set[i]);
      for (k = 0; k < count; k++)
        if (peers[k].incarnation == set[i])
          break;
      if (k < count)
        continue;
      memset (&peers[count], 0, sizeof peers[count]);
      peers[count].incarnation = set[i];
      if (known != NULL)
        peers[count] = *known;
      count++;
    }
  return count;
}

/* Put the witness set of NODE, this node, in force.  A change of the set is a
   giving-up: it raises the floor, and the set before counts until its majority
   has acked that floor.  Giving-ups begin in the order of their offsets, so it
   waits while an earlier one, at LIMIT, has not begun.  The first set gives
   nothing up, since there was no lease before it.  */
static void
follow_sets (struct lease *lease, const struct view_node *node, guint64 limit)
{
  struct lease_witness peers[2 * WITNESS_MAX];
  guint32 count = 0;

  if (lease->witness_epoch == node->witness_epoch || lease->is_joint)
    return;
  if (lease->witness_count > 0 && node->witness_epoch > limit)
    return;
  count = collect_peers (lease, peers, count, node->witnesses,
                         node->witness_count);
  count = collect_peers (lease, peers, count, lease->witnesses,
                         lease->witness_count);
  memcpy (lease->witness_states, peers, sizeof peers);
  lease->witness_state_count = count;
  memcpy (lease->old_witnesses, lease->witnesses, sizeof lease->old_witnesses);
  lease->old_witness_count = lease->witness_count;
  memcpy (lease->witnesses, node->witnesses, sizeof lease->witnesses);
  lease->witness_count = node->witness_count;
  lease->witness_epoch = node->witness_epoch;
  lease->is_joint = lease->old_witness_count > 0;
  if (lease->is_joint)
    lease->floor = MAX (lease->floor, lease->witness_epoch);
  lease->next_renewal_at = 0;
}

/* Stop counting the set before once its majority has acked the change.  What
   that set granted ends there and then: it can no longer keep a certificate of
   the new set from being valid.  */
static void
end_joint (struct lease *lease)
{
  if (!lease->is_joint
      || !quorum_has_floor (lease, lease->old_witnesses,
                            lease->old_witness_count, lease->witness_epoch))
    return;
  lease->is_joint = FALSE;
  lease->expires_at = 0;
}

/* Raise the floor: a giving-up at FLOOR has begun.  */
void
lease_raise_floor (struct lease *lease, guint64 floor)
{
  if (floor <= lease->floor)
    return;
  lease->floor = floor;
  lease->next_renewal_at = 0;
}

/* Renewals */

/* Set up a lease that is not held.  */
void
lease_init (struct lease *lease)
{
  memset (lease, 0, sizeof *lease);
}

/* Send a renewal to every witness that is in the view.  */
static void
send_renewals (struct lease *lease, const struct view *view, guint64 self,
               gint64 now, guint64 *serial, struct actions *out)
{
  struct lease_renewal *round;
  guint32 i;

  lease->last_renewal++;
  lease->next_renewal_at = now + RENEWAL_INTERVAL_USEC;
  round = &lease->renewals[lease->last_renewal % LEASE_RENEWALS_KEPT];
  round->number = lease->last_renewal;
  round->sent_at = now;
  round->floor = lease->floor;
  for (i = 0; i < lease->witness_state_count; i++)
    {
      const struct view_node *peer = view_node_at (
          view, view_find_node (view, lease->witness_states[i].incarnation));
      struct action_peer_call *call;
      if (peer == NULL)
        continue;
      call = &actions_add (out, ACTION_PEER_CALL)->u.call;
      call->serial = ++*serial;
      call->peer_incarnation = lease->witness_states[i].incarnation;
      call->address = peer->join.peer_address;
      call->deadline = now + CALL_TIMEOUT_USEC;
      call->body.kind = PEER_RENEW;
      call->body.target_incarnation = call->peer_incarnation;
      call->body.u.renew.incarnation = self;
      call->body.u.renew.round = lease->last_renewal;
      call->body.u.renew.floor = lease->floor;
      call->body.u.renew.applied_offset = view->applied_offset;
    }
}

/* Note that the lease has come or gone since the last step.  */
static void
note_change (struct lease *lease, gint64 now, struct actions *out)
{
  gboolean held = lease_is_held (lease, now);

  if (held == lease->was_held)
    return;
  lease->was_held = held;
  actions_add (out, ACTION_LOG_EVENT)->u.log_event.id
      = held ? LOG_EVENT_LEASE_HELD : LOG_EVENT_LEASE_LAPSED;
}

/* Renew when it is time.  No giving-up past LIMIT may begin yet.  SERIAL
   numbers the calls.  */
void
lease_step (struct lease *lease, const struct view *view, struct handle self,
            guint64 limit, gint64 now, guint64 *serial, struct actions *out)
{
  const struct view_node *node = view_node_at (view, self);

  if (node != NULL)
    {
      follow_sets (lease, node, limit);
      if (lease->witness_state_count > 0 && now >= lease->next_renewal_at)
        send_renewals (lease, view, node->join.incarnation, now, serial, out);
    }
  note_change (lease, now, out);
}

/* Take in the answer of the witness PEER to a renewal.  */
void
lease_on_reply (struct lease *lease, guint64 peer,
                const struct peer_renew_reply *reply)
{
  const struct lease_renewal *round
      = &lease->renewals[reply->round % LEASE_RENEWALS_KEPT];
  struct lease_witness *witness = lease_find_witness (lease, peer);

  if (witness == NULL)
    return;
  witness->consecutive_refusals
      = reply->granted ? 0 : witness->consecutive_refusals + 1;
  if (!reply->granted || round->number != reply->round)
    return;
  witness->acked_sent_at = MAX (witness->acked_sent_at, round->sent_at);
  witness->acked_floor = MAX (witness->acked_floor, round->floor);
  end_joint (lease);
  update_until (lease);
}

/* Tell whether the lease is held at NOW.  */
gboolean
lease_is_held (const struct lease *lease, gint64 now)
{
  return now < lease->expires_at;
}
