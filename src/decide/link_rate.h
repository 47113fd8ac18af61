#ifndef BAMBOOTALLY_LINK_RATE_H
#define BAMBOOTALLY_LINK_RATE_H

#include <glib.h>

/* When parts of long responses may be sent on the link of this host.

   Load pattern: a server whose responses have 90 kB, beside a node whose link
   carries 10 Mbit/s, is asked for 20 of them a second and for 50 short
   responses, most of which other servers wait for with a slot each.  If the
   parts of the long ones are sent as they come, the short ones wait behind
   some 500 kB on the link.  So long responses are sent in parts, at most at a
   share of the link's rate and with little ahead of it; the total is not
   slower, since the link is what limits it.  */

struct link_rate
{
  guint64 bytes_per_s; /* for long responses; 0: there is no limit */
  gint64 sent_until;   /* when the parts that were sent have left the host */
};

void link_rate_set (struct link_rate *rate, guint32 link_mbit_per_s);
gboolean link_rate_may_send (const struct link_rate *rate, gint64 now);
void link_rate_take (struct link_rate *rate, gsize bytes, gint64 now);

#endif
