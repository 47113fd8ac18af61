#ifndef BAMBOOTALLY_LOAD_REPORT_H
#define BAMBOOTALLY_LOAD_REPORT_H

#include <glib.h>

/* How busy the gate of a node is, as the node tells others.  */

struct load_report
{
  guint32 running; /* requests at the server */
  guint32 waiting; /* requests in the queue */
  guint32 slots;   /* requests that it runs at once; 0: none now */
  gint64 run_usec; /* mean time of a run */
  guint32 demand;  /* thousandths of what the server can do that the keys it
                      holds ask of it */
};

#endif
