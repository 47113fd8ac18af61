#include "serve/peer_state.h"

/* Two pulses in a row and the time of a call.  */
#define HEARD_USEC ((gint64)900000)

/* A link between zones costs its round trip, and its bytes are dear: so much
   longer a request may wait in its own zone for each kilobyte.  */
#define ZONE_USEC ((gint64)9000)
#define ZONE_USEC_PER_KB ((gint64)2500)
#define BYTES_PER_KB 1024

/* What a node said of its load this long ago tells nothing of it now; until
   then it tells less and less.  */
#define LOAD_STALE_USEC ((gint64)3000000)

/* A node that left a request without an answer is thought to be late for as
   long as it did, at most so long.  */
#define LATE_MAX_USEC ((gint64)1000000)

#define RUN_UNKNOWN_USEC ((gint64)100000) /* run time where none is known */

/* The last word that this node had from the other one, or when it began to
   wait for one.  */
gint64
peer_state_last_message_at (const struct peer_state *peer_state)
{
  return MAX (peer_state->last_message_at, peer_state->waiting_since);
}

/* The last word from it that any node is known to have had, or when this node
   first knew of it.  */
gint64
peer_state_last_reported_at (const struct peer_state *peer_state)
{
  return MAX (peer_state->first_seen_at, peer_state->last_reported_at);
}

/* Tell whether the node can be counted on to answer.  One that is not watched
   is, unless others say that it is silent.  */
gboolean
peer_state_is_responsive (const struct peer_state *peer_state, gint64 now)
{
  if (!peer_state->is_watched)
    return !peer_state->reported_unresponsive;
  return now - peer_state_last_message_at (peer_state) < HEARD_USEC;
}

/* Begin or end to notice whether the node is silent.  One that has just been
   found is given the time to answer, unless others wait for it in vain
   already.  */
void
peer_state_set_watched (struct peer_state *peer_state, gboolean watched,
                        gint64 now)
{
  if (watched && !peer_state->is_watched && !peer_state->reported_unresponsive)
    peer_state->waiting_since = now;
  peer_state->is_watched = watched;
}

/* The store says of the node what MEMBER says.  A new process is alive and
   knows nothing of what was sent to the one before.  */
void
peer_state_on_record (struct peer_state *peer_state,
                      const struct fleet_member *member, gint64 now)
{
  if (peer_state->recorded_incarnation == member->incarnation)
    return;
  if (peer_state->recorded_incarnation == 0)
    peer_state->first_seen_at = now;
  else
    peer_state->last_reported_at = now;
  peer_state->waiting_since = now;
  peer_state->recorded_incarnation = member->incarnation;
  peer_state->incarnation = member->incarnation;
  peer_state->last_sequence = 0;
  peer_state->reported_unresponsive = FALSE;
  peer_state->is_leaving = FALSE;
  peer_state->store_lost = FALSE;
  if (peer_state->load_reported_at == 0)
    peer_state->load.slots = member->slots;
}

/* Something came from the node itself.  */
void
peer_state_on_message (struct peer_state *peer_state, gint64 now)
{
  peer_state->last_message_at = now;
  peer_state->last_reported_at = now;
  peer_state->reported_unresponsive = FALSE;
}

/* A request was sent to the node.  */
void
peer_state_on_sent (struct peer_state *peer_state, gint64 now)
{
  peer_state->sent_since_load++;
  if (peer_state->in_flight++ == 0)
    peer_state->unanswered_since = now;
}

/* The node answered a request, or refused it.  The connection to it lives,
   though pulses may be late.  */
void
peer_state_on_answer (struct peer_state *peer_state, gint64 now)
{
  if (peer_state->in_flight > 0)
    peer_state->in_flight--;
  peer_state->unanswered_since = peer_state->in_flight > 0 ? now : 0;
  peer_state->late_until = 0;
  peer_state->missed_gossip_count = 0;
}

/* A request that the node has was given up without an answer.  */
void
peer_state_on_abandoned (struct peer_state *peer_state, gint64 now)
{
  gint64 owed = peer_state->unanswered_since != 0
                    ? now - peer_state->unanswered_since
                    : 0;

  if (peer_state->in_flight > 0)
    peer_state->in_flight--;
  if (peer_state->in_flight == 0)
    peer_state->unanswered_since = 0;
  peer_state->late_until
      = MAX (peer_state->late_until, now + MIN (owed, LATE_MAX_USEC));
}

/* How long a request runs at a server that told LOAD, for ASK.  */
static gint64
run_time (const struct load_report *load, const struct peer_query *ask)
{
  if (load->mean_run_usec > 0)
    return load->mean_run_usec;
  return ask->default_run_usec > 0 ? ask->default_run_usec : RUN_UNKNOWN_USEC;
}

/* How long a request waits behind AHEAD others for one of SLOTS, in which
   requests run for RUN.  */
static gint64
wait_time (gint64 run, guint32 ahead, guint32 slots)
{
  return ahead < slots ? 0 : run * (ahead - slots + 1) / slots;
}

/* How many requests are thought to be there.  A node that has said nothing of
   late is taken to be half busy, besides what it has from here.  */
static guint32
ahead_at (const struct peer_state *peer_state, gint64 now)
{
  const struct load_report *load = &peer_state->load;
  gint64 told = load->running + load->waiting + peer_state->sent_since_load;
  gint64 unknown = load->slots / 2 + peer_state->in_flight;
  gint64 age = MIN (now - peer_state->load_reported_at, LOAD_STALE_USEC);

  return (guint32)(told + (unknown - told) * age / LOAD_STALE_USEC);
}

/* How late the node's answers are thought to be.  */
static gint64
lateness (const struct peer_state *peer_state, gint64 now)
{
  gint64 owed = peer_state->unanswered_since != 0
                    ? now - peer_state->unanswered_since
                    : 0;

  return MAX (owed, peer_state->late_until - now);
}

/* What a request costs there, in microseconds: its wait and its run, which
   counts more the busier the server is, and the way there.  */
gint64
peer_state_cost (const struct peer_state *peer_state,
                 const struct peer_query *ask, gint64 now)
{
  const struct load_report *load = &peer_state->load;
  gint64 run = run_time (load, ask);
  guint32 ahead = ahead_at (peer_state, now);
  gint64 cost = 0;

  if (load->slots > 0)
    cost = wait_time (run, ahead, load->slots) + run / 2
           + run * (ahead + 1) / load->slots;
  cost += cost * load->failed_permille / 1000 * LOAD_FAILURE_WEIGHT;
  cost += MAX (0, lateness (peer_state, now));
  if (!ask->same_zone)
    cost += ZONE_USEC + ask->body_bytes * ZONE_USEC_PER_KB / BYTES_PER_KB;
  return cost;
}

/* The node said how busy it is.  */
void
peer_state_on_load (struct peer_state *peer_state,
                    const struct load_report *load, gint64 now)
{
  peer_state->load = *load;
  peer_state->load_reported_at = now;
  peer_state->sent_since_load = 0;
}

/* The node said how it is.  */
void
peer_state_on_gossip (struct peer_state *peer_state,
                      const struct gossip *gossip, gint64 now)
{
  peer_state_on_message (peer_state, now);
  if (peer_state->incarnation != gossip->incarnation)
    peer_state->last_sequence = 0;
  peer_state->incarnation = gossip->incarnation;
  peer_state->last_sequence
      = MAX (peer_state->last_sequence, gossip->sequence);
  peer_state->applied_offset = gossip->applied_offset;
  peer_state->config_version = gossip->config_version;
  peer_state->is_leaving = gossip->leaving;
  peer_state->store_lost = gossip->store_lost;
  peer_state_on_load (peer_state, &gossip->load, now);
}
