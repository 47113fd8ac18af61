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
  struct address node; /* address where the node takes requests */
  const char *method;  /* HTTP method */
  const char *path;    /* path and query; a random key number replaces '%' */
  guint32 keys;        /* key numbers are below this; 0: no key */
  guint32 count;       /* requests to send if stop_at is 0 */
  guint32 parallel;    /* requests in flight at the same time */
  gint64 upload;       /* length of each request body */
  guint64 seed;        /* seed for the key numbers */
  gint64 timeout_usec; /* time until a request is abandoned */
  gint64 until;        /* no new request from then on, monotonic usec; 0:
                          request_count limits */
  gint64 pause_usec;   /* wait before the request that follows an answer */
  gboolean quiet;      /* print totals only */
};

struct caller_totals
{
  guint64 done;    /* requests with a complete and correct answer */
  guint64 not_run; /* requests whose answer says that they have not run */
  guint64 unknown; /* requests whose answer says that the effect is unknown */
  guint64 broken;  /* requests without an answer, or with a truncated one */
  guint64 crossed; /* answers that belong to another request */
  guint64 other;   /* answers with any other status */
  GArray
      *usec; /* gint64: response time of each request counted in done_count */
};

void caller_run (const struct caller_settings *settings,
                 struct caller_totals *totals);
gint64 caller_percentile (const struct caller_totals *totals, double share);

#endif
