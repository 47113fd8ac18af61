#ifndef SCENARIO_FAKE_NET_H
#define SCENARIO_FAKE_NET_H

#include <glib.h>

/* The network between nodes: each pair may be cut, and messages take time. */

#define SIM_NODES_MAX 16u /* nodes in a world */

struct fake_net
{
  gboolean cut[SIM_NODES_MAX][SIM_NODES_MAX]; /* nothing passes, from, to */
  gint64 delay_usec;                          /* one way, microseconds */
  gint64 jitter_usec; /* added at random, up to so much */
  GRand *random;      /* draws the jitter */
};

void fake_net_init (struct fake_net *net, guint32 seed);
void fake_net_clear (struct fake_net *net);
void fake_net_cut (struct fake_net *net, guint a, guint b, gboolean cut);
void fake_net_heal (struct fake_net *net);
gboolean fake_net_is_connected (const struct fake_net *net, guint from,
                                guint to);
gint64 fake_net_draw_delay (struct fake_net *net);

#endif
