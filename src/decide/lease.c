#include "decide/lease.h"

#include "decide/lease_quorum.h"
#include "decide/timing.h"

#include <string.h>

/* Extend the lease to LEASE_USEC after the send time of the newest renewal
   that a majority of the witnesses has acked.  */
static void
update_expiry (struct lease *lease)
{
  gint64 acked = quorum_acked (lease, lease->set, lease->set_count);

  if (lease->joint)
    {
      gint64 before = quorum_acked (lease, lease->before, lease->before_count);
      acked = MIN (acked, before);
    }
  if (acked > 0 && acked + LEASE_USEC > lease->until)
    lease->until = acked + LEASE_USEC;
}

/* Witness sets */

/* Append the witnesses of SET that are missing to the COUNT entries of PEERS,
   keeping the known state of each.  Return the new count.  */
static guint32
collect_witnesses (struct lease *lease, struct lease_witness *peers,
                   guint32 count, const guint64 *set, guint32 size)
{
  guint32 i;
  guint32 k;

  for (i = 0; i < size; i++)
    {
      const struct lease_witness *known = lease_peer (lease, set[i]);
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

/* Adopt the witness set that the view shows for NODE, this node.  A change of
   the set is a handoff: it raises the floor, and the old set counts until its
   majority has acked that floor.  Handoffs begin in the order of their
   offsets, so the change waits while an earlier one, at LIMIT, has not begun.
   The first set is no handoff, since there was no lease before it.  */
static void
adopt_witness_set (struct lease *lease, const struct view_node *node,
                   guint64 limit)
{
  struct lease_witness peers[2 * WITNESS_MAX];
  guint32 count = 0;

  if (lease->epoch == node->witness_epoch || lease->joint)
    return;
  if (lease->set_count > 0 && node->witness_epoch > limit)
    return;
  count = collect_witnesses (lease, peers, count, node->witnesses,
                             node->witness_count);
  count
      = collect_witnesses (lease, peers, count, lease->set, lease->set_count);
  memcpy (lease->peers, peers, sizeof peers);
  lease->count = count;
  memcpy (lease->before, lease->set, sizeof lease->before);
  lease->before_count = lease->set_count;
  memcpy (lease->set, node->witnesses, sizeof lease->set);
  lease->set_count = node->witness_count;
  lease->epoch = node->witness_epoch;
  lease->joint = lease->before_count > 0;
  if (lease->joint)
    lease->floor = MAX (lease->floor, lease->epoch);
  lease->next_send = 0;
}

/* End the joint phase once a majority of the old set has acked the change.
   The lease that the old set granted ends at once, because it can no longer
   prevent the new set from issuing a valid certificate.  */
static void
end_joint_phase (struct lease *lease)
{
  if (!lease->joint
      || !quorum_floor (lease, lease->before, lease->before_count,
                        lease->epoch))
    return;
  lease->joint = FALSE;
  lease->until = 0;
}

/* Raise the floor to FLOOR, because a handoff at that offset has begun, and
   renew at once.  */
void
lease_raise_floor (struct lease *lease, guint64 floor)
{
  if (floor <= lease->floor)
    return;
  lease->floor = floor;
  lease->next_send = 0;
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
  struct lease_round *round;
  guint32 i;

  lease->round++;
  lease->next_send = now + RENEW_EVERY_USEC;
  round = &lease->rounds[lease->round % LEASE_ROUNDS];
  round->round = lease->round;
  round->sent = now;
  round->floor = lease->floor;
  for (i = 0; i < lease->count; i++)
    {
      const struct view_node *peer = view_node_at (
          view, view_find_node (view, lease->peers[i].incarnation));
      struct action_call *call;
      if (peer == NULL)
        continue;
      call = &actions_add (out, ACTION_CALL)->u.call;
      call->serial = ++*serial;
      call->peer = lease->peers[i].incarnation;
      call->to = peer->join.peer;
      call->deadline = now + CALL_TIMEOUT_USEC;
      call->body.kind = PEER_RENEW;
      call->body.to = call->peer;
      call->body.u.renew.incarnation = self;
      call->body.u.renew.round = lease->round;
      call->body.u.renew.floor = lease->floor;
      call->body.u.renew.folded = view->next;
    }
}

/* Log whether the lease was acquired or has expired since the last step.  */
static void
log_change (struct lease *lease, gint64 now, struct actions *out)
{
  gboolean held = lease_is_held (lease, now);

  if (held == lease->held)
    return;
  lease->held = held;
  actions_add (out, ACTION_NOTE)->u.note.id
      = held ? NOTE_LEASE_HELD : NOTE_LEASE_LAPSED;
}

/* Adopt a new witness set and send renewals when they are due.  No handoff
   past LIMIT may begin yet.  SERIAL is the serial of the last call, and is
   advanced.  */
void
lease_step (struct lease *lease, const struct view *view, struct handle self,
            guint64 limit, gint64 now, guint64 *serial, struct actions *out)
{
  const struct view_node *node = view_node_at (view, self);

  if (node != NULL)
    {
      adopt_witness_set (lease, node, limit);
      if (lease->count > 0 && now >= lease->next_send)
        send_renewals (lease, view, node->join.incarnation, now, serial, out);
    }
  log_change (lease, now, out);
}

/* Process the answer of the witness PEER to a renewal.  */
void
lease_on_reply (struct lease *lease, guint64 peer,
                const struct peer_renew_reply *reply)
{
  const struct lease_round *round
      = &lease->rounds[reply->round % LEASE_ROUNDS];
  struct lease_witness *witness = lease_peer (lease, peer);

  if (witness == NULL)
    return;
  witness->refusals = reply->granted ? 0 : witness->refusals + 1;
  if (!reply->granted || round->round != reply->round)
    return;
  witness->acked = MAX (witness->acked, round->sent);
  witness->floor = MAX (witness->floor, round->floor);
  end_joint_phase (lease);
  update_expiry (lease);
}

/* Tell whether the lease is held at NOW.  */
gboolean
lease_is_held (const struct lease *lease, gint64 now)
{
  return now < lease->until;
}
