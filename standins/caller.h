#ifndef STANDIN_CALLER_H
#define STANDIN_CALLER_H

#include "edge/http.h"
#include "types/outcome.h"

/* A stand-in for callers.  It keeps several requests in flight and checks each
   answer: the status, the outcome, the id of the request and the digest of the
   bytes that were uploaded.  A request that was refused because it had no
   stamp is sent again with the stamp that the refusal offers.  */

struct caller_settings
{
  struct address node_address; /* address where the node takes requests */
  const char *method;          /* HTTP method */
  const char *path;            /* path; '%' becomes a random key number */
  guint32 key_count;           /* key numbers are below this; 0: no key */
  guint32 request_count;       /* requests to send if stop_at is 0 */
  guint32 concurrency;         /* requests in flight at the same time */
  gint64 upload_bytes;         /* length of each request body */
  guint64 seed;                /* seed for the key numbers */
  gint64 timeout_usec;         /* time until a request is abandoned */
  gint64 stop_at;    /* no request is sent from then on, monotonic usec; 0:
                        request_count is the limit */
  gint64 pause_usec; /* wait after an answer */
  gboolean quiet;    /* print totals only */
};

struct caller_totals
{
  guint64 done_count;         /* requests answered completely and correctly */
  guint64 not_run_count;      /* requests answered as not run */
  guint64 unknown_count;      /* requests answered as of unknown effect */
  guint64 incomplete_count;   /* requests without a complete answer */
  guint64 mismatched_count;   /* requests that got another one's answer */
  guint64 other_status_count; /* requests answered with any other status */
  GArray *latencies_usec;     /* gint64: response times of done requests */
};

void caller_run (const struct caller_settings *settings,
                 struct caller_totals *totals);
gint64 caller_percentile (const struct caller_totals *totals, double share);

#endif
