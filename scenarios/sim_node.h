#ifndef SCENARIO_SIM_NODE_H
#define SCENARIO_SIM_NODE_H

#include "decide/core.h"
#include "scenarios/fake_server.h"

/* A simulated node: its decision core, and the state that the I/O layer of a
   real node keeps.  */

struct sim_node
{
  struct core core;      /* decision core */
  gboolean alive;        /* the process is running */
  gboolean draining;     /* the node was asked to drain */
  gboolean drained;      /* the process exited after draining */
  gint64 frozen_until;   /* suspended until then, simulated microseconds */
  guint64 incarnation;   /* incarnation of the process */
  guint64 next_offset;   /* log offset to read next */
  gint64 appends_end_at; /* when pending appends end; not maintained */
  guint64 last_config_offset; /* offset of the last configuration in force */
  guint32 exchange_count;     /* requests that the node is handling */
  struct fake_server server;  /* backend server beside the node */
  char zone[NAME_SIZE];       /* zone of the node */
};

#endif
