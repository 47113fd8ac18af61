#include "serve/upstream.h"

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
upstream_last_word (const struct upstream *upstream)
{
  return MAX (upstream->heard, upstream->since);
}

/* The last word from it that any node is known to have had, or when this node
   first knew of it.  */
gint64
upstream_last_told (const struct upstream *upstream)
{
  return MAX (upstream->seen, upstream->told);
}

/* Tell whether the node can be counted on to answer.  One that is not watched
   is, unless others say that it is silent.  */
gboolean
upstream_is_heard (const struct upstream *upstream, gint64 now)
{
  if (!upstream->watched)
    return !upstream->suspected;
  return now - upstream_last_word (upstream) < HEARD_USEC;
}

/* Begin or end to notice whether the node is silent.  One that has just been
   found is given the time to answer, unless others wait for it in vain
   already.  */
void
upstream_watch (struct upstream *upstream, gboolean watched, gint64 now)
{
  if (watched && !upstream->watched && !upstream->suspected)
    upstream->since = now;
  upstream->watched = watched;
}

/* The store says of the node what MEMBER says.  A new process is alive and
   knows nothing of what was sent to the one before.  */
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

/* Something came from the node itself.  */
void
upstream_on_word (struct upstream *upstream, gint64 now)
{
  upstream->heard = now;
  upstream->told = now;
  upstream->suspected = FALSE;
}

/* A request was sent to the node.  */
void
upstream_on_sent (struct upstream *upstream, gint64 now)
{
  upstream->sent++;
  if (upstream->flying++ == 0)
    upstream->owes_since = now;
}

/* The node answered a request, or refused it.  The connection to it lives,
   though pulses may be late.  */
void
upstream_on_answer (struct upstream *upstream, gint64 now)
{
  if (upstream->flying > 0)
    upstream->flying--;
  upstream->owes_since = upstream->flying > 0 ? now : 0;
  upstream->late_until = 0;
  upstream->pulses_missed = 0;
}

/* A request that the node has was given up without an answer.  */
void
upstream_on_abandoned (struct upstream *upstream, gint64 now)
{
  gint64 owed = upstream->owes_since != 0 ? now - upstream->owes_since : 0;

  if (upstream->flying > 0)
    upstream->flying--;
  if (upstream->flying == 0)
    upstream->owes_since = 0;
  upstream->late_until
      = MAX (upstream->late_until, now + MIN (owed, LATE_MAX_USEC));
}

/* How long a request runs at a server that told LOAD, for ASK.  */
static gint64
run_time (const struct load_report *load, const struct upstream_ask *ask)
{
  if (load->mean_run_usec > 0)
    return load->mean_run_usec;
  return ask->run_usec > 0 ? ask->run_usec : RUN_UNKNOWN_USEC;
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
ahead_at (const struct upstream *upstream, gint64 now)
{
  const struct load_report *load = &upstream->load;
  gint64 told = load->running + load->waiting + upstream->sent;
  gint64 unknown = load->slots / 2 + upstream->flying;
  gint64 age = MIN (now - upstream->load_at, LOAD_STALE_USEC);

  return (guint32)(told + (unknown - told) * age / LOAD_STALE_USEC);
}

/* How late the node's answers are thought to be.  */
static gint64
lateness (const struct upstream *upstream, gint64 now)
{
  gint64 owed = upstream->owes_since != 0 ? now - upstream->owes_since : 0;

  return MAX (owed, upstream->late_until - now);
}

/* What a request costs there, in microseconds: its wait and its run, which
   counts more the busier the server is, and the way there.  */
gint64
upstream_cost (const struct upstream *upstream, const struct upstream_ask *ask,
               gint64 now)
{
  const struct load_report *load = &upstream->load;
  gint64 run = run_time (load, ask);
  guint32 ahead = ahead_at (upstream, now);
  gint64 cost = 0;

  if (load->slots > 0)
    cost = wait_time (run, ahead, load->slots) + run / 2
           + run * (ahead + 1) / load->slots;
  cost += cost * load->failed_permille / 1000 * LOAD_FAILURE_WEIGHT;
  cost += MAX (0, lateness (upstream, now));
  if (!ask->same_zone)
    cost += ZONE_USEC + ask->bytes * ZONE_USEC_PER_KB / BYTES_PER_KB;
  return cost;
}

/* The node said how busy it is.  */
void
upstream_on_load (struct upstream *upstream, const struct load_report *load,
                  gint64 now)
{
  upstream->load = *load;
  upstream->load_at = now;
  upstream->sent = 0;
}

/* The node said how it is.  */
void
upstream_on_pulse (struct upstream *upstream, const struct gossip *gossip,
                   gint64 now)
{
  upstream_on_word (upstream, now);
  if (upstream->incarnation != gossip->incarnation)
    upstream->stamp = 0;
  upstream->incarnation = gossip->incarnation;
  upstream->stamp = MAX (upstream->stamp, gossip->sequence);
  upstream->applied = gossip->applied_offset;
  upstream->config = gossip->config_version;
  upstream->leaving = gossip->leaving;
  upstream->store_lost = gossip->store_lost;
  upstream_on_load (upstream, &gossip->load, now);
}
