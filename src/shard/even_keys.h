#ifndef BAMBOOTALLY_EVEN_KEYS_H
#define BAMBOOTALLY_EVEN_KEYS_H

#include <glib.h>

/* How many requests per second an owner of keys hands to another one, so that
   all owners have the same demand for what they can do.

   Load pattern: 40 owners, a quarter of which have half the speed of the
   others, and keys that are dealt by number.  If keys follow run times alone,
   slow owners give theirs away until they are idle and the fast ones fill up.
   So demand is compared, which contains the speed, the present slowdown and
   the limit of a server.

   The demand of an owner varies by chance: it gets some 28 requests a second,
   and its machine is slow for 0.4 s at a time, while a move takes its keys out
   of service for about as long.  So an owner goes by a mean over some seconds,
   and nothing is moved for a small difference.  */

struct even_keys
{
  gint64 rate_milli; /* mean rate of the requests for the own keys, thousandths
                        of a request per second */
  gint64 run_usec;   /* mean run time over some seconds, 0: not known */
  gint64 started_at; /* first update, 0: none */
  gint64 updated_at; /* last update */
};

/* Another owner, as it reported.  */
struct even_keys_receiver
{
  gint64 demand_permille; /* its demand */
  gint64 demand_per_rate; /* demand of one request per second there,
                             millionths */
};

void even_keys_update (struct even_keys *keys, guint32 rate, gint64 run_usec,
                       gint64 now);
void even_keys_moved (struct even_keys *keys, guint32 rate);
guint32 even_keys_rate (const struct even_keys *keys);
gboolean even_keys_has_excess (gint64 demand_permille, gint64 mean_permille);
guint32 even_keys_rate_to_move (gint64 demand_permille, gint64 mean_permille,
                                gint64 demand_per_rate,
                                const struct even_keys_receiver *receiver);

#endif
