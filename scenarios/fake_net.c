#include "scenarios/fake_net.h"

#include <string.h>

#define NET_DELAY_USEC 3000  /* one way */
#define NET_JITTER_USEC 2000 /* its variation */

/* Set up a network without cuts.  */
void
fake_net_init (struct fake_net *net, guint32 seed)
{
  memset (net, 0, sizeof *net);
  net->delay_usec = NET_DELAY_USEC;
  net->jitter_usec = NET_JITTER_USEC;
  net->random = g_rand_new_with_seed (seed);
}

/* Release the random numbers.  */
void
fake_net_clear (struct fake_net *net)
{
  g_rand_free (net->random);
}

/* Cut the pair of A and B both ways, or join it again.  */
void
fake_net_cut (struct fake_net *net, guint a, guint b, gboolean cut)
{
  net->cut[a][b] = cut;
  net->cut[b][a] = cut;
}

/* Join all pairs.  */
void
fake_net_heal (struct fake_net *net)
{
  memset (net->cut, 0, sizeof net->cut);
}

/* Tell whether a message passes.  */
gboolean
fake_net_is_connected (const struct fake_net *net, guint from, guint to)
{
  return from == to || !net->cut[from][to];
}

/* The time that the next message takes.  */
gint64
fake_net_draw_delay (struct fake_net *net)
{
  return net->delay_usec
         + (net->jitter_usec > 0
                ? g_rand_int_range (net->random, 0, (gint32)net->jitter_usec)
                : 0);
}
