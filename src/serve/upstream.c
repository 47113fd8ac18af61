#include "serve/upstream.h"

/* Two pulses in a row and the time of a call.  */
#define HEARD_USEC ((gint64)900000)

/* A link between zones costs its round trip, and its bytes are dear: so much
   longer a request may wait in its own zone for each kilobyte.  */
#define ZONE_USEC ((gint64)9000)
#define ZONE_USEC_PER_KB ((gint64)2500)
#define BYTES_PER_KB 1024

#define RUN_UNKNOWN_USEC ((gint64)100000) /* run time of an unknown server */

/* Tell whether the node has been heard of late.  One that has just been found
   is given the time to answer.  */
gboolean
upstream_is_heard (const struct upstream *upstream, gint64 now)
{
  return now - MAX (upstream->heard, upstream->since) < HEARD_USEC;
}

/* How long a request waits for a slot behind AHEAD others.  */
gint64
upstream_wait (const struct load_report *load, guint32 ahead)
{
  gint64 run = load->run_usec > 0 ? load->run_usec : RUN_UNKNOWN_USEC;

  if (load->slots == 0 || ahead < load->slots)
    return 0;
  return run * (ahead - load->slots + 1) / load->slots;
}

/* What a request costs there, in microseconds: its wait and its run, which
   counts more the busier the server is, and the way there.  */
gint64
upstream_cost (const struct upstream *upstream, const struct upstream_ask *ask)
{
  const struct load_report *load = &upstream->load;
  gint64 run = load->run_usec > 0 ? load->run_usec : RUN_UNKNOWN_USEC;
  guint32 ahead = load->running + load->waiting + upstream->sent;
  gint64 cost = upstream_wait (load, ahead);

  if (load->slots > 0)
    cost += run / 2 + run * (ahead + 1) / load->slots;
  if (!ask->same_zone)
    cost += ZONE_USEC + ask->bytes * ZONE_USEC_PER_KB / BYTES_PER_KB;
  return cost;
}

/* The node said how busy it is.  */
void
upstream_on_load (struct upstream *upstream, const struct load_report *load)
{
  upstream->load = *load;
  upstream->sent = 0;
}

/* The node said how it is.  */
void
upstream_on_pulse (struct upstream *upstream, const struct pulse *pulse,
                   gint64 now)
{
  upstream->heard = now;
  upstream->incarnation = pulse->incarnation;
  upstream->folded = pulse->folded;
  upstream->config = pulse->config;
  upstream->leaving = pulse->leaving;
  upstream->store_lost = pulse->store_lost;
  upstream_on_load (upstream, &pulse->load);
}
