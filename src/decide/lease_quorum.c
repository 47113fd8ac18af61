#include "decide/lease_quorum.h"

#define REFUSALS_MAX 5u /* consecutive refusals that show a promise */

/* Return the state of the witness INCARNATION, or NULL.  */
struct lease_witness *
lease_find_witness (struct lease *lease, guint64 incarnation)
{
  guint i;

  for (i = 0; i < lease->witness_state_count; i++)
    if (lease->witness_states[i].incarnation == incarnation)
      return &lease->witness_states[i];
  return NULL;
}

/* Return the latest send time such that a majority of the COUNT witnesses in
   SET has acked a renewal sent then or later; G_MININT64 for an empty set,
   which can hold no lease.  */
gint64
quorum_acked_at (struct lease *lease, const guint64 *set, guint32 count)
{
  gint64 acked[WITNESS_MAX];
  guint32 i;
  guint32 k;

  if (count == 0)
    return G_MININT64;
  for (i = 0; i < count; i++)
    {
      const struct lease_witness *witness = lease_find_witness (lease, set[i]);
      gint64 sent_at = witness != NULL ? witness->acked_sent_at : G_MININT64;
      for (k = i; k > 0 && acked[k - 1] < sent_at; k--)
        acked[k] = acked[k - 1];
      acked[k] = sent_at;
    }
  return acked[count / 2];
}

/* Tell whether a majority of the COUNT witnesses in SET has acked FLOOR.  */
gboolean
quorum_has_floor (const struct lease *lease, const guint64 *set, guint32 count,
                  guint64 floor)
{
  guint32 acks = 0;
  guint32 i;

  for (i = 0; i < count; i++)
    {
      const struct lease_witness *witness
          = lease_find_witness ((struct lease *)lease, set[i]);
      if (witness != NULL && witness->acked_floor >= floor)
        acks++;
    }
  return acks > count / 2;
}

/* Tell whether a majority of each witness set in force has acked FLOOR: a
   handoff at FLOOR is then complete.  */
gboolean
lease_is_floor_acked (const struct lease *lease, guint64 floor)
{
  if (!quorum_has_floor (lease, lease->witnesses, lease->witness_count, floor))
    return FALSE;
  return !lease->is_joint
         || quorum_has_floor (lease, lease->old_witnesses,
                              lease->old_witness_count, floor);
}

/* Tell whether the witness PEER keeps refusing renewals, which means that it
   has promised never to ack this node again.  */
gboolean
lease_witness_refuses (const struct lease *lease, guint64 peer)
{
  const struct lease_witness *witness
      = lease_find_witness ((struct lease *)lease, peer);

  return witness != NULL && witness->consecutive_refusals >= REFUSALS_MAX;
}

/* Tell whether a majority of the COUNT witnesses in SET may ack again: they
   are neither removed nor replaced in VIEW, and do not refuse.  */
static gboolean
quorum_alive (const struct lease *lease, const struct view *view,
              const guint64 *set, guint32 count)
{
  guint32 available = 0;
  guint32 i;

  for (i = 0; i < count; i++)
    {
      const struct view_node *node
          = view_node_at (view, view_find_node (view, set[i]));
      if (node != NULL && node->state != NODE_REPLACED
          && !lease_witness_refuses (lease, set[i]))
        available++;
    }
  return available > count / 2;
}

/* Tell whether the lease can ever be renewed again.  A set whose majority is
   removed, replaced or refuses can ack neither a renewal nor the change to the
   next set.  */
gboolean
lease_can_renew (const struct lease *lease, const struct view *view)
{
  if (lease->witness_count == 0)
    return TRUE;
  if (!quorum_alive (lease, view, lease->witnesses, lease->witness_count))
    return FALSE;
  return !lease->is_joint
         || quorum_alive (lease, view, lease->old_witnesses,
                          lease->old_witness_count);
}
