#include "decide/peer_load.h"

#define SMOOTHING_DIVISOR 8 /* a new measurement has weight 1/8 */
#define HALF_LIFE_USEC                                                        \
  ((gint64)500000) /* a measurement loses half its weight in this time */
#define HALVINGS_MAX                                                          \
  30 /* a measurement counts nothing after so many half-lives */

/* Handle a request that was sent.  */
void
peer_load_on_sent (struct peer_load *load)
{
  load->in_flight++;
}

/* Handle a request that was cancelled.  A cancelled request gives no
   measurement.  */
void
peer_load_on_cancelled (struct peer_load *load)
{
  if (load->in_flight > 0)
    load->in_flight--;
}

/* Handle the end of a request that was sent at SENT_AT.  */
void
peer_load_on_ended (struct peer_load *load, gint64 sent_at, gint64 now)
{
  peer_load_on_cancelled (load);
  if (load->measured_at == 0)
    load->mean_usec = now - sent_at;
  else
    load->mean_usec += (now - sent_at - load->mean_usec) / SMOOTHING_DIVISOR;
  load->measured_at = now;
}

/* Return the estimated time of a request that has AHEAD others before it on
   SLOTS, in microseconds.  Return 0 if there is no recent measurement.  */
gint64
peer_load_estimate_usec (const struct peer_load *load, guint32 ahead,
                         guint32 slots, gint64 now)
{
  gint64 age = now - load->measured_at;
  gint64 halvings = MIN (age / HALF_LIFE_USEC, HALVINGS_MAX);

  if (load->measured_at == 0)
    return 0;
  return (load->mean_usec + load->mean_usec * ahead / MAX (1, slots))
         >> halvings;
}
