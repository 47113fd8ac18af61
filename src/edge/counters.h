#ifndef BAMBOOTALLY_COUNTERS_H
#define BAMBOOTALLY_COUNTERS_H

#include "types/outcome.h"
#include "types/reason.h"

#include <glib.h>

/* Counters of a node, from its start.  */

struct counters
{
  guint64 requests;              /* requests that entered here */
  guint64 from_peers;            /* requests passed on to here */
  guint64 run;                   /* requests that the server ran */
  guint64 forwarded;             /* attempts passed on from here */
  guint64 retried;               /* attempts after the first */
  guint64 refused[REASON_COUNT]; /* requests ended here, by reason */
  guint64 outcomes[3];           /* requests ended, by outcome */
  guint64 bytes_in;              /* bytes of requests' bodies */
  guint64 bytes_out;             /* bytes of answers' bodies */
  guint64 control_calls;         /* calls to other nodes for control */
  guint64 appends;               /* records sent to the log */
  guint64 records;               /* records read */
};

char *counters_format (const struct counters *counters);

#endif
