#ifndef STANDIN_CALLER_H
#define STANDIN_CALLER_H

#include "edge/http.h"
#include "types/outcome.h"

/* A caller that sends requests one after another on several connections and
   checks each answer: its status, its outcome, that it carries the id and key
   of the request, and for uploads the digest of what was sent.  A request that
   is refused for want of a stamp is sent again under the one offered.  */

struct caller_settings
{
  struct address node_address; /* front of the node */
  const char *method;          /* HTTP method */
  const char *path;            /* path; a '%' stands for a key number */
  guint32 key_count;           /* key numbers to draw from, 0 for none */
  guint32 request_count;       /* requests to send */
  guint32 concurrency;         /* requests under way at once */
  gint64 upload_bytes;         /* bytes of each request's body */
  guint64 seed;                /* for the key numbers */
  gint64 timeout_usec;         /* longest time a request may take */
  gint64 stop_at;    /* stop sending then, monotonic usec; 0: count */
  gint64 pause_usec; /* wait between two requests of one connection */
  gboolean quiet;    /* print totals only */
};

struct caller_totals
{
  guint64 done_count;         /* whole answers */
  guint64 not_run_count;      /* ended as not run */
  guint64 unknown_count;      /* ended as unknown */
  guint64 incomplete_count;   /* no answer, or one cut short */
  guint64 mismatched_count;   /* answers to another request */
  guint64 other_status_count; /* any other status */
  GArray *latencies_usec;     /* gint64: how long each whole answer took */
};

void caller_run (const struct caller_settings *settings,
                 struct caller_totals *totals);
gint64 caller_percentile (const struct caller_totals *totals, double share);

#endif
