#include "decide/peer_load.h"

#define SMOOTHING 8 /* the last request is one part in it */
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
peer_load_on_gone (struct peer_load *load)
{
  if (load->in_flight > 0)
    load->in_flight--;
}

/* A request that was sent at SENT has ended.  */
void
peer_load_on_ended (struct peer_load *load, gint64 sent, gint64 now)
{
  peer_load_on_gone (load);
  if (load->measured == 0)
    load->took = now - sent;
  else
    load->took += (now - sent - load->took) / SMOOTHING;
  load->measured = now;
}

/* How long a request would take that has AHEAD others before it on SLOTS, as
   far as is known; 0 where nothing has been measured lately.  */
gint64
peer_load_wait (const struct peer_load *load, guint32 ahead, guint32 slots,
                gint64 now)
{
  gint64 age = now - load->measured;
  gint64 halvings = MIN (age / HALF_LIFE_USEC, HALVINGS_MAX);

  if (load->measured == 0)
    return 0;
  return (load->took + load->took * ahead / MAX (1, slots)) >> halvings;
}
