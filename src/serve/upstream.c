#include "serve/upstream.h"

/* A peer counts as responsive for this long after a message: two gossip
   intervals and the time of a call.  */
#define RESPONSIVE_USEC ((gint64)900000)

/* Cost of crossing a link between zones: its round trip, and a price for each
   kilobyte, because traffic between zones is expensive.  A request rather
   waits this much longer in its own zone.  */
#define ZONE_USEC ((gint64)9000)
#define ZONE_USEC_PER_KB ((gint64)2500)
#define BYTES_PER_KB 1024

/* A load report of this age is ignored.  Its weight falls linearly until
   then.  */
#define LOAD_STALE_USEC ((gint64)3000000)

/* A peer that left a request unanswered is assumed to be late for as long as
   that request waited, at most this long.  */
#define LATE_MAX_USEC ((gint64)1000000)

#define RUN_DEFAULT_USEC ((gint64)100000) /* run time if none is known */

/* Returns when the last message came from the peer itself, or when this node
   began to wait for one.  */
gint64
upstream_last_word (const struct upstream *upstream)
{
  return MAX (upstream->heard, upstream->since);
}

/* Returns when any node is known to have received the last message of the
   peer, or when this node learned of the peer.  */
gint64
upstream_last_told (const struct upstream *upstream)
{
  return MAX (upstream->seen, upstream->told);
}

/* Tells whether the peer can be expected to answer.  A peer that is not
   watched is, unless other nodes report it as unresponsive.  */
gboolean
upstream_is_heard (const struct upstream *upstream, gint64 now)
{
  if (!upstream->watched)
    return !upstream->suspected;
  return now - upstream_last_word (upstream) < RESPONSIVE_USEC;
}

/* Starts or stops watching whether the peer responds.  A newly watched peer
   gets the full time to answer, unless other nodes already report it as
   unresponsive.  */
void
upstream_watch (struct upstream *upstream, gboolean watched, gint64 now)
{
  if (watched && !upstream->watched && !upstream->suspected)
    upstream->since = now;
  upstream->watched = watched;
}

/* Takes over MEMBER, the record of the peer in the store.  A new process is
   alive and knows nothing of the messages sent to the previous one.  */
void
upstream_on_record (struct upstream *upstream,
                    const struct fleet_member *member, gint64 now)
{
  if (upstream->recorded == member->incarnation)
    return;
  if (upstream->recorded == 0)
    upstream->seen = now;
  else
    upstream->told = now;
  upstream->since = now;
  upstream->recorded = member->incarnation;
  upstream->incarnation = member->incarnation;
  upstream->stamp = 0;
  upstream->suspected = FALSE;
  upstream->leaving = FALSE;
  upstream->store_lost = FALSE;
  if (upstream->load_at == 0)
    upstream->load.slots = member->slots;
}

/* Notes a message from the peer itself.  */
void
upstream_on_word (struct upstream *upstream, gint64 now)
{
  upstream->heard = now;
  upstream->told = now;
  upstream->suspected = FALSE;
}

/* Notes that a request was forwarded to the peer.  */
void
upstream_on_sent (struct upstream *upstream, gint64 now)
{
  upstream->sent++;
  if (upstream->flying++ == 0)
    upstream->owes_since = now;
}

/* Notes that the peer answered or refused a request.  Its connection works,
   even if its gossip is late.  */
void
upstream_on_answer (struct upstream *upstream, gint64 now)
{
  if (upstream->flying > 0)
    upstream->flying--;
  upstream->owes_since = upstream->flying > 0 ? now : 0;
  upstream->late_until = 0;
  upstream->pulses_missed = 0;
}

/* Notes that a request at the peer was given up without an answer.  */
void
upstream_on_abandoned (struct upstream *upstream, gint64 now)
{
  gint64 unanswered_usec
      = upstream->owes_since != 0 ? now - upstream->owes_since : 0;

  if (upstream->flying > 0)
    upstream->flying--;
  if (upstream->flying == 0)
    upstream->owes_since = 0;
  upstream->late_until
      = MAX (upstream->late_until, now + MIN (unanswered_usec, LATE_MAX_USEC));
}

/* Returns the run time to expect at a server that reported LOAD, for
   QUERY.  */
static gint64
expected_run_usec (const struct load_report *load,
                   const struct upstream_ask *query)
{
  if (load->run_usec > 0)
    return load->run_usec;
  return query->run_usec > 0 ? query->run_usec : RUN_DEFAULT_USEC;
}

/* Returns how long a request waits behind AHEAD others for one of SLOTS, each
   of which is taken for RUN_USEC.  */
static gint64
queueing_usec (gint64 run_usec, guint32 ahead, guint32 slots)
{
  return ahead < slots ? 0 : run_usec * (ahead - slots + 1) / slots;
}

/* Returns the estimated number of requests at the peer.  Without a recent load
   report half of the peer's slots are assumed to be busy, besides the requests
   that this node has sent.  */
static guint32
estimated_requests (const struct upstream *upstream, gint64 now)
{
  const struct load_report *load = &upstream->load;
  gint64 reported = load->running + load->waiting + upstream->sent;
  gint64 assumed = load->slots / 2 + upstream->flying;
  gint64 age = MIN (now - upstream->load_at, LOAD_STALE_USEC);

  return (guint32)(reported + (assumed - reported) * age / LOAD_STALE_USEC);
}

/* Returns how late the next answer of the peer is expected to be.  */
static gint64
expected_delay (const struct upstream *upstream, gint64 now)
{
  gint64 unanswered_usec
      = upstream->owes_since != 0 ? now - upstream->owes_since : 0;

  return MAX (unanswered_usec, upstream->late_until - now);
}

/* Returns the estimated cost of a request at the peer, in microseconds: its
   queueing time and run time, weighted up the busier the server is, and the
   way there.  */
gint64
upstream_cost (const struct upstream *upstream,
               const struct upstream_ask *query, gint64 now)
{
  const struct load_report *load = &upstream->load;
  gint64 run_usec = expected_run_usec (load, query);
  guint32 ahead = estimated_requests (upstream, now);
  gint64 cost = 0;

  if (load->slots > 0)
    cost = queueing_usec (run_usec, ahead, load->slots) + run_usec / 2
           + run_usec * (ahead + 1) / load->slots;
  cost += cost * load->failing / 1000 * LOAD_FAILING_WEIGHT;
  cost += MAX (0, expected_delay (upstream, now));
  if (!query->same_zone)
    cost += ZONE_USEC + query->bytes * ZONE_USEC_PER_KB / BYTES_PER_KB;
  return cost;
}

/* Notes the load that the peer reported.  */
void
upstream_on_load (struct upstream *upstream, const struct load_report *load,
                  gint64 now)
{
  upstream->load = *load;
  upstream->load_at = now;
  upstream->sent = 0;
}

/* Notes a gossip message of the peer.  */
void
upstream_on_pulse (struct upstream *upstream, const struct pulse *pulse,
                   gint64 now)
{
  upstream_on_word (upstream, now);
  if (upstream->incarnation != pulse->incarnation)
    upstream->stamp = 0;
  upstream->incarnation = pulse->incarnation;
  upstream->stamp = MAX (upstream->stamp, pulse->stamp);
  upstream->folded = pulse->folded;
  upstream->config = pulse->config;
  upstream->leaving = pulse->leaving;
  upstream->store_lost = pulse->store_lost;
  upstream_on_load (upstream, &pulse->load, now);
}
