#ifndef SCENARIO_SIM_NODE_H
#define SCENARIO_SIM_NODE_H

#include "decide/core.h"
#include "scenarios/fake_server.h"

/* One node of the world: its core, and the state that its edges would keep. */

struct sim_node
{
  struct core core;           /* its decisions */
  gboolean alive;             /* the process runs */
  gboolean draining;          /* it was asked to leave */
  gboolean drained;           /* it went by itself, as it was asked */
  gint64 frozen_until;        /* it takes no step before then */
  guint64 incarnation;        /* of the process */
  guint64 next_offset;        /* offset it reads next */
  gint64 appends_end_at;      /* appends on their way end then */
  guint64 last_config_offset; /* offset of the configuration it had in force */
  guint32 exchange_count;     /* requests in its hands */
  struct fake_server server;  /* the server beside it */
  char zone[NAME_SIZE];       /* where it stands */
};

#endif
