#include "serve/peer_state.h"

/* What a request costs at a peer.  */

/* Cost of crossing a link between zones: its round trip, and a price for each
   kilobyte, because traffic between zones is expensive.  A request rather
   waits up to this much longer in its own zone than crosses a link.  */
#define ZONE_USEC ((gint64)9000)
#define ZONE_USEC_PER_KB ((gint64)2500)
#define BYTES_PER_KB 1024

/* A load report of this age says nothing of the slots any more.  */
#define LOAD_STALE_USEC ((gint64)3000000)

/* The weight of the number of requests in a load report falls linearly until
   the report has this age.  What is assumed instead is the same for all
   servers, so a shorter time makes a node blind to those that are overloaded
   for seconds.  In the replay of test_even_load 1 s leaves more uneven load
   where reports come with answers only; 3 s and 12 s hardly differ.  */
#define LOAD_FADE_USEC ((gint64)6000000)

/* A report of no slots is believed for this time.  After it the server is
   tried if no other one has room: a process that starts reports no slots until
   its server's first heartbeat, and without requests there are no newer
   reports.  A shorter time lets requests try servers in vain that are down. */
#define NO_SLOTS_USEC ((gint64)300000)

/* Added cost of a server whose last report named no slots, and what its
   capacity is divided by in draws.  */
#define DOUBT_USEC ((gint64)1000000)
#define DOUBT_DIVISOR 1000

#define RUN_DEFAULT_USEC ((gint64)100000) /* run time if none is known */

/* Share of the slots that are assumed to be taken if nothing is known of any
   server, thousandths.  */
#define BUSY_DEFAULT_PERMILLE 500

#define PERMILLE ((gint64)1000)

/* Return whether the record of the peer alone says how many slots its server
   has: there is no load report, it is old, or it named no slots and the record
   has changed since.  */
static gboolean
record_supersedes_report (const struct peer_state *peer, gint64 now)
{
  return peer->load_reported_at == 0
         || now - peer->load_reported_at >= LOAD_STALE_USEC
         || (peer->load.slots == 0
             && peer->record_changed_at > peer->load_reported_at);
}

/* Return whether the last report of the peer named no slots, and its record
   does and has not changed since.  */
static gboolean
is_doubtful (const struct peer_state *peer, gint64 now)
{
  return peer->load.slots == 0 && !record_supersedes_report (peer, now);
}

/* Return how many requests the peer's server runs at once, as far as is known
   at NOW; 0 if it runs none.  */
guint32
peer_state_slots (const struct peer_state *peer, gint64 now)
{
  gboolean by_record = record_supersedes_report (peer, now)
                       || (is_doubtful (peer, now)
                           && now - peer->load_reported_at >= NO_SLOTS_USEC);

  return by_record && peer->recorded_slots > 0 ? peer->recorded_slots
                                               : peer->load.slots;
}

/* Return the run time to expect at a server that reported LOAD, for QUERY.  */
static gint64
expected_run_usec (const struct load_report *load,
                   const struct peer_query *query)
{
  if (load->mean_run_usec > 0)
    return load->mean_run_usec;
  return query->default_run_usec > 0 ? query->default_run_usec
                                     : RUN_DEFAULT_USEC;
}

/* Return how many requests per second the peer's server can run at NOW, by its
   slots and run time, much less if it is doubtful whether it runs any.
   DEFAULT_RUN_USEC is the run time if it reported none.  */
gdouble
peer_state_capacity (const struct peer_state *peer, gint64 default_run_usec,
                     gint64 now)
{
  struct peer_query query = { .default_run_usec = default_run_usec };
  gdouble capacity = (gdouble)MAX (1, peer_state_slots (peer, now))
                     * G_USEC_PER_SEC
                     / (gdouble)expected_run_usec (&peer->load, &query);

  return is_doubtful (peer, now) ? capacity / DOUBT_DIVISOR : capacity;
}

/* Return how long a request waits behind AHEAD thousandths of a request for
   one of SLOTS, each of which is taken for RUN_USEC.  */
static gint64
queueing_usec (gint64 run_usec, gint64 ahead, gint64 slots)
{
  gint64 queued = ahead + PERMILLE - slots * PERMILLE;

  return queued < PERMILLE ? 0 : run_usec * queued / (slots * PERMILLE);
}

/* Return the estimated number of requests at the peer, in thousandths. Without
   a recent load report as many of the peer's slots as QUERY names are assumed
   to be taken, besides the requests that this node has sent.  */
static gint64
estimated_requests (const struct peer_state *peer,
                    const struct peer_query *query, gint64 now)
{
  const struct load_report *load = &peer->load;
  gint64 slots = peer_state_slots (peer, now);
  gint64 reported
      = PERMILLE
        * ((gint64)load->running + load->waiting + peer->sent_since_load);
  gint64 busy_permille = query->busy_permille > 0 ? query->busy_permille
                                                  : BUSY_DEFAULT_PERMILLE;
  gint64 assumed = slots * busy_permille + PERMILLE * peer->in_flight;
  gint64 age = peer->load_reported_at != 0
                   ? MIN (now - peer->load_reported_at, LOAD_FADE_USEC)
                   : LOAD_FADE_USEC;

  return reported + (assumed - reported) * age / LOAD_FADE_USEC;
}

/* Return how late the next answer of the peer is expected to be.  */
static gint64
expected_delay (const struct peer_state *peer, gint64 now)
{
  gint64 unanswered_usec
      = peer->unanswered_since != 0 ? now - peer->unanswered_since : 0;

  return MAX (unanswered_usec, peer->late_until - now);
}

/* Return the time that a request takes from those behind it at a server where
   it runs for RUN_USEC, as it counts in a cost: halfway to the mean run time
   of all servers.  By its run time alone idle fast servers fill up to twice
   the utilisation of slow ones; by the mean alone it would count for nothing
   that slow servers take longer.  */
static gint64
taken_usec (gint64 run_usec, const struct peer_query *query)
{
  return query->default_run_usec > 0 ? (run_usec + query->default_run_usec) / 2
                                     : run_usec;
}

/* Return the estimated cost of a request at the peer, in microseconds: the
   time that it waits, the time that it takes from the requests behind it, and
   the way there.  The time that it runs itself is no part of it: it would put
   most requests at the fast servers and let them wait there.  */
gint64
peer_state_cost (const struct peer_state *peer, const struct peer_query *query,
                 gint64 now)
{
  const struct load_report *load = &peer->load;
  gint64 run_usec = expected_run_usec (load, query);
  gint64 ahead = estimated_requests (peer, query, now);
  gint64 slots = MAX (1, peer_state_slots (peer, now));
  gint64 cost = queueing_usec (run_usec, ahead, slots)
                + taken_usec (run_usec, query) * (ahead + PERMILLE)
                      / (slots * PERMILLE);

  cost += cost * load->failed_permille / 1000 * LOAD_FAILURE_WEIGHT;
  cost += MAX (0, expected_delay (peer, now));
  if (is_doubtful (peer, now))
    cost += DOUBT_USEC;
  if (!query->same_zone)
    cost += ZONE_USEC + query->body_bytes * ZONE_USEC_PER_KB / BYTES_PER_KB;
  return cost;
}
