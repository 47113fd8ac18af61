#ifndef BAMBOOTALLY_COUNTERS_H
#define BAMBOOTALLY_COUNTERS_H

#include "types/outcome.h"
#include "types/reason.h"

#include <glib.h>

/* Counters of a node since its start.  */

struct counters
{
  guint64 requests;              /* requests received from callers */
  guint64 from_peers;            /* requests that other nodes forwarded here */
  guint64 run;                   /* runs started at the local server */
  guint64 forwarded;             /* attempts forwarded to other nodes */
  guint64 retried;               /* attempts after a request's first */
  guint64 refused[REASON_COUNT]; /* requests refused, by enum reason */
  guint64 outcomes[3];           /* requests ended, by enum outcome */
  guint64 bytes_in;              /* bytes of request bodies */
  guint64 bytes_out;             /* bytes of response bodies */
  guint64 control_calls;         /* control calls to other nodes */
  guint64 appends;               /* records sent to the log or store */
  guint64 records;               /* log records read, from the log or a peer */
};

char *counters_format (const struct counters *counters);

#endif
