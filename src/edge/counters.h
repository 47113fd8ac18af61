#ifndef BAMBOOTALLY_COUNTERS_H
#define BAMBOOTALLY_COUNTERS_H

#include "types/outcome.h"
#include "types/reason.h"

#include <glib.h>

/* Counters of a node since its start.  */

struct counters
{
  guint64 caller_requests;  /* requests received from callers */
  guint64 left_before_read; /* of these, whose callers had left when they
                               were read */
  guint64 peer_requests;    /* requests that other nodes forwarded here */
  guint64 cancelled_before_start; /* of these, cancelled before they were
                                     submitted */
  guint64 expired_on_link; /* requests that other nodes forwarded here, held up
                              on the way until their deadline */
  guint64 server_runs;     /* runs started at the local server */
  guint64 forwarded_attempts; /* attempts forwarded to other nodes */
  guint64 retried_attempts;   /* attempts after a request's first */
  guint64 refused_by_reason[REASON_COUNT]; /* by enum reason */
  guint64 ended_by_outcome[3];             /* requests, by enum outcome */
  guint64 request_bytes;                   /* bytes of request bodies */
  guint64 answer_bytes;                    /* bytes of response bodies */
  guint64 control_calls;                   /* control calls to other nodes */
  guint64 appends_sent; /* records sent to the log or store */
  guint64 records_read; /* log records read, from the log or a peer */
};

char *counters_format (const struct counters *counters);

#endif
