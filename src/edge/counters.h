#ifndef BAMBOOTALLY_COUNTERS_H
#define BAMBOOTALLY_COUNTERS_H

#include "types/outcome.h"
#include "types/reason.h"

#include <glib.h>

/* Counters of a node, from its start.  */

struct counters
{
  guint64 caller_requests;                 /* requests that entered here */
  guint64 peer_requests;                   /* requests passed on to here */
  guint64 server_runs;                     /* requests that the server ran */
  guint64 forwarded_attempts;              /* attempts passed on from here */
  guint64 retried_attempts;                /* attempts after the first */
  guint64 refused_by_reason[REASON_COUNT]; /* requests ended here, by reason */
  guint64 ended_by_outcome[3];             /* requests ended, by outcome */
  guint64 request_bytes;                   /* bytes of requests' bodies */
  guint64 answer_bytes;                    /* bytes of answers' bodies */
  guint64 control_calls; /* calls to other nodes for control */
  guint64 appends_sent;  /* records sent to the log */
  guint64 records_read;  /* records read */
};

char *counters_format (const struct counters *counters);

#endif
