#include "serve/peer_state.h"

/* A peer counts as responsive for this long after a message: two gossip
   intervals and the time of a call.  */
#define RESPONSIVE_USEC ((gint64)900000)

/* A peer that left a request unanswered is assumed to be late for as long as
   that request waited, at most this long.  */
#define LATE_MAX_USEC ((gint64)1000000)

/* Return the time of the last message from the peer itself, or when this node
   began to wait for one.  */
gint64
peer_state_last_message_at (const struct peer_state *peer)
{
  return MAX (peer->last_message_at, peer->waiting_since);
}

/* Return the time of the last message from the peer that any node is known to
   have received, or when this node learned of the peer.  */
gint64
peer_state_last_reported_at (const struct peer_state *peer)
{
  return MAX (peer->first_seen_at, peer->last_reported_at);
}

/* Return whether the peer can be expected to answer.  A peer that is not
   watched is, unless other nodes report it as unresponsive.  */
gboolean
peer_state_is_responsive (const struct peer_state *peer, gint64 now)
{
  if (!peer->is_watched)
    return !peer->reported_unresponsive;
  return now - peer_state_last_message_at (peer) < RESPONSIVE_USEC;
}

/* Start or stop watching whether the peer responds.  A newly watched peer gets
   the full time to answer, unless other nodes already report it as
   unresponsive.  */
void
peer_state_set_watched (struct peer_state *peer, gboolean watched, gint64 now)
{
  if (watched && !peer->is_watched && !peer->reported_unresponsive)
    peer->waiting_since = now;
  peer->is_watched = watched;
}

/* Keep the slots that MEMBER, the record of the peer in the store, names.  The
   record of a process may first name none and later those of its server's
   first heartbeat.  */
static void
record_slots (struct peer_state *peer, const struct fleet_member *member,
              gint64 now)
{
  if (peer->recorded_slots != member->slots
      || peer->recorded_incarnation != member->incarnation)
    peer->record_changed_at = now;
  peer->recorded_slots = member->slots;
  if (peer->load_reported_at == 0)
    peer->load.slots = member->slots;
}

/* Update the state from MEMBER, the record of the peer in the store.  A new
   process is alive and knows nothing of the messages sent to the previous
   one.  */
void
peer_state_on_record (struct peer_state *peer,
                      const struct fleet_member *member, gint64 now)
{
  record_slots (peer, member, now);
  if (peer->recorded_incarnation == member->incarnation)
    return;
  if (peer->recorded_incarnation == 0)
    peer->first_seen_at = now;
  else
    peer->last_reported_at = now;
  peer->waiting_since = now;
  peer->recorded_incarnation = member->incarnation;
  peer->incarnation = member->incarnation;
  peer->last_sequence = 0;
  peer->reported_unresponsive = FALSE;
  peer->is_leaving = FALSE;
  peer->store_lost = FALSE;
}

/* Record a message from the peer itself.  */
void
peer_state_on_message (struct peer_state *peer, gint64 now)
{
  peer->last_message_at = now;
  peer->last_reported_at = now;
  peer->reported_unresponsive = FALSE;
}

/* Record that a request was forwarded to the peer.  */
void
peer_state_on_sent (struct peer_state *peer, gint64 now)
{
  peer->sent_since_load++;
  if (peer->in_flight++ == 0)
    peer->unanswered_since = now;
}

/* Record that the peer answered or refused a request.  The connection to the
   peer works, even if gossip from it is late.  */
void
peer_state_on_answer (struct peer_state *peer, gint64 now)
{
  if (peer->in_flight > 0)
    peer->in_flight--;
  peer->unanswered_since = peer->in_flight > 0 ? now : 0;
  peer->late_until = 0;
  peer->missed_gossip_count = 0;
}

/* Record that a request at the peer was given up without an answer.  */
void
peer_state_on_abandoned (struct peer_state *peer, gint64 now)
{
  gint64 unanswered_usec
      = peer->unanswered_since != 0 ? now - peer->unanswered_since : 0;

  if (peer->in_flight > 0)
    peer->in_flight--;
  if (peer->in_flight == 0)
    peer->unanswered_since = 0;
  peer->late_until
      = MAX (peer->late_until, now + MIN (unanswered_usec, LATE_MAX_USEC));
}

/* Record the load that the peer reported.  */
void
peer_state_on_load (struct peer_state *peer, const struct load_report *load,
                    gint64 now)
{
  peer->load = *load;
  peer->load_reported_at = now;
  peer->sent_since_load = 0;
}

/* Record a gossip message of the peer.  */
void
peer_state_on_gossip (struct peer_state *peer, const struct gossip *gossip,
                      gint64 now)
{
  peer_state_on_message (peer, now);
  if (peer->incarnation != gossip->incarnation)
    peer->last_sequence = 0;
  peer->incarnation = gossip->incarnation;
  peer->last_sequence = MAX (peer->last_sequence, gossip->sequence);
  peer->applied_offset = gossip->applied_offset;
  peer->config_version = gossip->config_version;
  peer->is_leaving = gossip->leaving;
  peer->store_lost = gossip->store_lost;
  peer_state_on_load (peer, &gossip->load, now);
}
