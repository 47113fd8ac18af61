#ifndef SCENARIO_FAKE_NET_H
#define SCENARIO_FAKE_NET_H

#include <glib.h>

/* The simulated network between nodes: links can be cut, and messages are
   delayed.  */

#define SIM_NODES_MAX 16u /* most nodes in a simulation */

struct fake_net
{
  /* [from][to]: no messages pass.  */
  gboolean cut[SIM_NODES_MAX][SIM_NODES_MAX];
  gint64 delay_usec;  /* one-way delay, microseconds */
  gint64 jitter_usec; /* upper bound of the random addition, microseconds */
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
