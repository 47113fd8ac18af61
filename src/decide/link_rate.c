#include "decide/link_rate.h"

#include "types/limits.h"

/* Share of the link's rate for long responses.  The rest is for short ones and
   for gossip.  */
#define LONG_PERCENT 85

/* Parts are sent while the ones before take no longer than this to leave the
   host: a little more than the interval of the timer that sends the next.  */
#define AHEAD_USEC ((gint64)35000)

#define BYTES_PER_MBIT 125000u

/* Set the rate for a link of LINK_MBIT_PER_S; 0: it is not known, and there is
   no limit.  */
void
link_rate_set (struct link_rate *rate, guint32 link_mbit_per_s)
{
  rate->bytes_per_s
      = (guint64)link_mbit_per_s * BYTES_PER_MBIT * LONG_PERCENT / 100;
}

/* Return whether a part of a long response may be sent at NOW.  */
gboolean
link_rate_may_send (const struct link_rate *rate, gint64 now)
{
  return rate->bytes_per_s == 0 || rate->sent_until <= now + AHEAD_USEC;
}

/* Count BYTES of a long response that are sent at NOW.  */
void
link_rate_take (struct link_rate *rate, gsize bytes, gint64 now)
{
  if (rate->bytes_per_s > 0)
    rate->sent_until
        = MAX (rate->sent_until, now)
          + (gint64)((guint64)bytes * USEC_PER_SEC / rate->bytes_per_s);
}
