#include "decide/lease.h"

#include "decide/lease_quorum.h"
#include "decide/timing.h"

#include <string.h>

/* Extend the lease to LEASE_USEC after the send time of the newest renewal
   that a majority of the witnesses has acked.  */
static void
update_expiry (struct lease *lease)
{
  gint64 acked_at
      = quorum_acked_at (lease, lease->witnesses, lease->witness_count);

  if (lease->is_joint)
    {
      gint64 old_acked_at = quorum_acked_at (lease, lease->old_witnesses,
                                             lease->old_witness_count);
      acked_at = MIN (acked_at, old_acked_at);
    }
  if (acked_at > 0 && acked_at + LEASE_USEC > lease->expires_at)
    lease->expires_at = acked_at + LEASE_USEC;
}

/* Witness sets */

/* Append the witnesses of SET that are missing to the COUNT entries of STATES,
   keeping the known state of each.  Return the new count.  */
static guint32
collect_witnesses (struct lease *lease, struct lease_witness *states,
                   guint32 count, const guint64 *set, guint32 size)
{
  guint32 i;
  guint32 k;

  for (i = 0; i < size; i++)
    {
      const struct lease_witness *known = lease_find_witness (lease, set[i]);
      for (k = 0; k < count; k++)
        if (states[k].incarnation == set[i])
          break;
      if (k < count)
        continue;
      memset (&states[count], 0, sizeof states[count]);
      states[count].incarnation = set[i];
      if (known != NULL)
        states[count] = *known;
      count++;
    }
  return count;
}

/* Adopt the witness set that the view shows for NODE, this node.  A change of
   the set is a handoff: it raises the floor, and the old set counts until its
   majority has acked that floor.  Handoffs begin in the order of their
   offsets, so a change past HANDOFF_LIMIT, the first handoff that has not
   begun, waits.  The first set is no handoff, since there was no lease before
   it.  */
static void
adopt_witness_set (struct lease *lease, const struct view_node *node,
                   guint64 handoff_limit)
{
  struct lease_witness states[2 * WITNESS_MAX];
  guint32 count = 0;

  if (lease->witness_epoch == node->witness_epoch || lease->is_joint)
    return;
  if (lease->witness_count > 0 && node->witness_epoch > handoff_limit)
    return;
  count = collect_witnesses (lease, states, count, node->witnesses,
                             node->witness_count);
  count = collect_witnesses (lease, states, count, lease->witnesses,
                             lease->witness_count);
  memcpy (lease->witness_states, states, sizeof states);
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

/* End the joint phase once a majority of the old set has acked the change.
   The lease that the old set granted ends at once, because it can no longer
   prevent the new set from issuing a valid certificate.  */
static void
end_joint_phase (struct lease *lease)
{
  if (!lease->is_joint
      || !quorum_has_floor (lease, lease->old_witnesses,
                            lease->old_witness_count, lease->witness_epoch))
    return;
  lease->is_joint = FALSE;
  lease->expires_at = 0;
}

/* Raise the floor to FLOOR, because a handoff at that offset has begun, and
   renew at once.  */
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
  struct lease_renewal *renewal;
  guint32 i;

  lease->last_renewal++;
  lease->next_renewal_at = now + RENEWAL_INTERVAL_USEC;
  renewal = &lease->renewals[lease->last_renewal % LEASE_RENEWALS_KEPT];
  renewal->number = lease->last_renewal;
  renewal->sent_at = now;
  renewal->floor = lease->floor;
  for (i = 0; i < lease->witness_state_count; i++)
    {
      const struct view_node *peer = view_node_at (
          view, view_find_node (view, lease->witness_states[i].incarnation));
      struct action_peer_call *call;
      if (peer == NULL)
        continue;
      call = &actions_add (out, ACTION_PEER_CALL)->u.peer_call;
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

/* Log whether the lease was acquired or has expired since the last step.  */
static void
log_change (struct lease *lease, gint64 now, struct actions *out)
{
  gboolean held = lease_is_held (lease, now);

  if (held == lease->was_held)
    return;
  lease->was_held = held;
  actions_add (out, ACTION_LOG_EVENT)->u.log_event.id
      = held ? LOG_EVENT_LEASE_HELD : LOG_EVENT_LEASE_LAPSED;
}

/* Adopt a new witness set and send renewals when they are due.  No handoff
   past HANDOFF_LIMIT may begin yet.  SERIAL is the serial of the last call,
   and is advanced.  */
void
lease_step (struct lease *lease, const struct view *view, struct handle self,
            guint64 handoff_limit, gint64 now, guint64 *serial,
            struct actions *out)
{
  const struct view_node *node = view_node_at (view, self);

  if (node != NULL)
    {
      adopt_witness_set (lease, node, handoff_limit);
      if (lease->witness_state_count > 0 && now >= lease->next_renewal_at)
        send_renewals (lease, view, node->join.incarnation, now, serial, out);
    }
  log_change (lease, now, out);
}

/* Process the answer of the witness PEER to a renewal.  */
void
lease_on_reply (struct lease *lease, guint64 peer,
                const struct peer_renew_reply *reply)
{
  const struct lease_renewal *renewal
      = &lease->renewals[reply->round % LEASE_RENEWALS_KEPT];
  struct lease_witness *witness = lease_find_witness (lease, peer);

  if (witness == NULL)
    return;
  witness->consecutive_refusals
      = reply->granted ? 0 : witness->consecutive_refusals + 1;
  if (!reply->granted || renewal->number != reply->round)
    return;
  witness->acked_sent_at = MAX (witness->acked_sent_at, renewal->sent_at);
  witness->acked_floor = MAX (witness->acked_floor, renewal->floor);
  end_joint_phase (lease);
  update_expiry (lease);
}

/* Tell whether the lease is held at NOW.  */
gboolean
lease_is_held (const struct lease *lease, gint64 now)
{
  return now < lease->expires_at;
}
