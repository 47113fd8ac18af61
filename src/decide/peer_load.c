#include "decide/peer_load.h"

#define SMOOTHING_DIVISOR 8 /* the last request is one part in it */
#define HALF_LIFE_USEC                                                        \
  ((gint64)500000)      /* a measured time counts half then                   \
                         */
#define HALVINGS_MAX 30 /* nothing is left after so many */

/* A request was sent.  */
void
peer_load_on_sent (struct peer_load *load)
{
  load->in_flight++;
}

/* A request went away before it ended, which tells nothing of its time.  */
void
peer_load_on_cancelled (struct peer_load *load)
{
  if (load->in_flight > 0)
    load->in_flight--;
}

/* A request that was sent at SENT has ended.  */
void
peer_load_on_ended (struct peer_load *load, gint64 sent, gint64 now)
{
  peer_load_on_cancelled (load);
  if (load->measured_at == 0)
    load->mean_usec = now - sent;
  else
    load->mean_usec += (now - sent - load->mean_usec) / SMOOTHING_DIVISOR;
  load->measured_at = now;
}

/* How long a request would take that has AHEAD others before it on SLOTS, as
   far as is known; 0 where nothing has been measured lately.  */
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
