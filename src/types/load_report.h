#ifndef BAMBOOTALLY_LOAD_REPORT_H
#define BAMBOOTALLY_LOAD_REPORT_H

#include <glib.h>

/* The load of a node's backend server, as the node reports it to other
   nodes.  */

/* When servers are chosen by cost, a failed attempt weighs as much as this
   many successful ones.  */
#define LOAD_FAILURE_WEIGHT 8

struct load_report
{
  guint32 running; /* requests that the server is running */
  guint32 waiting; /* requests in the node's queue */
  /* requests that the server runs at once; 0: none at present */
  guint32 slots;
  gint64 mean_run_usec;        /* mean run time of requests, microseconds */
  guint32 demand_permille;     /* load from the keys that the server holds,
                                  thousandths of its capacity */
  guint32 next_heartbeat_msec; /* until the server's next heartbeat is due */
  guint32 failed_permille; /* thousandths of the latest attempts that failed */
  guint32 warmup_msec;     /* until the server is warm, milliseconds; 0: it is
                              warm */
};

#endif
