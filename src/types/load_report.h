#ifndef BAMBOOTALLY_LOAD_REPORT_H
#define BAMBOOTALLY_LOAD_REPORT_H

#include <glib.h>

/* How busy the gate of a node is, as the node tells others.  */

/* In choices by cost, an attempt that fails counts as so many that do not.  */
#define LOAD_FAILURE_WEIGHT 8

struct load_report
{
  guint32 running;         /* requests at the server */
  guint32 waiting;         /* requests in the queue */
  guint32 slots;           /* requests that it runs at once; 0: none now */
  gint64 mean_run_usec;    /* mean time of a run */
  guint32 demand_permille; /* thousandths of what the server can do that the
                     keys it holds ask of it */
  guint32 next_heartbeat_msec; /* until the server's next beat is due */
  guint32 failed_permille; /* thousandths of the last attempts that the server
                      did not run to a good end */
};

#endif
