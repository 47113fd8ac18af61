#ifndef BAMBOOTALLY_SERVER_LIMIT_H
#define BAMBOOTALLY_SERVER_LIMIT_H

#include "types/server_notice.h"

/* The limit that a backend server in need names: the requests a second that it
   takes.  Starts are spaced by the generic cell rate algorithm.  */

struct server_limit
{
  gboolean is_named;    /* the server names a limit */
  guint64 milli_per_s;  /* the limit, thousandths of a request a second */
  gint64 next_start_at; /* when the next request starts if starts are evenly
                           spaced, monotonic usec */
  gint64 unnamed_since; /* first answer without a limit since the last one with
                           it, monotonic usec; 0: none */
  gint64 next_retry_at; /* when the next refused caller is to return,
                           monotonic usec */
};

gboolean server_limit_on_notice (struct server_limit *limit,
                                 const struct server_notice *notice,
                                 gint64 now);
guint32 server_limit_slots (const struct server_limit *limit, guint32 slots,
                            gint64 run_usec);
guint32 server_limit_demand (const struct server_limit *limit, guint32 rate);
gint64 server_limit_wait_usec (const struct server_limit *limit, guint32 ahead,
                               gint64 now);
void server_limit_take (struct server_limit *limit, gint64 now);
void server_limit_give_back (struct server_limit *limit);
gint64 server_limit_retry_usec (struct server_limit *limit, guint32 ahead,
                                gint64 now);

#endif
