#ifndef BAMBOOTALLY_WARMUP_H
#define BAMBOOTALLY_WARMUP_H

#include <glib.h>

/* The rate limit of a backend server that is cold.

   Load pattern: a server restarts during traffic, or a data centre returns to
   service, and every entry node sends the server its share at once.  A cold
   server takes a fraction of its usual rate and crashes well above it.  All
   requests to the server pass this node, so it counts them alone: in any
   second no more start than the service allows, and the others are sent
   elsewhere or refused at once.  */

/* Highest rate that is kept exactly; a higher one is lowered to it.  */
#define WARMUP_STARTS_MAX 256u

struct warmup
{
  gint64 cold_until;  /* the server is cold until then, by its heartbeats */
  gint64 cold_latest; /* the server is presumed cold until a heartbeat says
                         more, but no longer than until then; 0: it is not */
  guint32 per_second; /* requests that start in any second while the server is
                         cold, 0: no limit */
  guint32 last_start; /* index in `starts' of the latest start */
  gint64 starts[WARMUP_STARTS_MAX]; /* ring of the latest starts */
  gint64 next_retry_at; /* when the next refused caller is to return */
};

void warmup_init (struct warmup *warmup, gint64 now);
void warmup_set_rate (struct warmup *warmup, guint32 milli_per_s);
void warmup_on_heartbeat (struct warmup *warmup, gint64 warmup_usec,
                          gint64 now);
void warmup_presume_cold (struct warmup *warmup, gint64 until);
gboolean warmup_is_cold (const struct warmup *warmup, gint64 now);
gint64 warmup_left_usec (const struct warmup *warmup, gint64 now);
guint32 warmup_slots (const struct warmup *warmup, guint32 slots,
                      gint64 run_usec, gint64 now);
guint32 warmup_demand (const struct warmup *warmup, guint32 rate, gint64 now);
gint64 warmup_wait_usec (const struct warmup *warmup, guint32 ahead,
                         gint64 now);
gint64 warmup_retry_usec (struct warmup *warmup, guint32 ahead, gint64 now);
void warmup_take (struct warmup *warmup, gint64 now);
void warmup_give_back (struct warmup *warmup);

#endif
