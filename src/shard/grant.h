#ifndef BAMBOOTALLY_GRANT_H
#define BAMBOOTALLY_GRANT_H

#include "shard/answer_grants.h"
#include "shard/departure.h"
#include "shard/lease_book.h"
#include "types/grant_method.h"
#include "types/heartbeat.h"
#include "types/shard_map.h"

/* The key ranges that the local backend server may hold, according to what
   the server and this node told each other.  Only this node grants keys to
   that server.  So a key that was never granted is not held, and a granted key
   is held until the server releases it, the grant expires or that server
   instance has ended.  */

/* Percent by which a grant is shortened, since the server's clock may be 2 %
   slow; 1 % more covers rounding.  */
#define GRANT_DRIFT_PERCENT 3
#define GRANT_MIN_USEC ((gint64)300000) /* shorter grants are not given */

struct grant
{
  struct server_instance instance; /* known instance; empty id: none */
  gint64 instance_since;      /* since when this process knows that instance */
  guint64 heartbeat_sequence; /* sequence number of the last heartbeat */
  guint32 slots;              /* requests that the server runs at once */
  gboolean heartbeat_received;  /* this process has received a heartbeat */
  gboolean is_draining;         /* the server has announced that it stops,
                                   in a heartbeat or an answer */
  gboolean is_deregistered;     /* the server has deregistered */
  struct departures departures; /* servers that have deregistered */
  gboolean presumed_dead;   /* the server refuses connections, or another one
                               answers in its place */
  gint64 leave_acked_at;    /* when the stop was acknowledged, 0: never */
  gint64 last_heartbeat_at; /* when the last heartbeat came, 0: never */
  gint64 refused_since; /* first refused connection since the last heartbeat,
                           0: none */
  gint64 granted_until; /* end of the latest grant */
  enum grant_method method; /* how the server is told its keys */
  union
  {
    struct answer_grants answers; /* GRANT_BY_ANSWER */
    struct lease_book calls;      /* GRANT_BY_CALL */
  } u;
};

/* The instance that a heartbeat came from.  */
enum grant_change
{
  GRANT_SAME_INSTANCE, /* the known instance */
  GRANT_NEW_INSTANCE,  /* a new instance; the old one has ended */
  GRANT_OUTDATED       /* an ended instance, or heartbeats out of order */
};

void grant_init (struct grant *grant, enum grant_method method,
                 gint64 granted_until);
void grant_clear (struct grant *grant);
enum grant_change grant_on_heartbeat (struct grant *grant,
                                      const struct heartbeat *heartbeat,
                                      gint64 now);
gboolean grant_on_deregister (struct grant *grant, const char *id,
                              gint64 at_msec, gint64 now);
void grant_on_leaving (struct grant *grant, gint64 now);
void grant_on_key_denied (struct grant *grant, guint32 key, gint64 now);
void grant_on_misdirected (struct grant *grant);
gboolean grant_on_connection_refused (struct grant *grant, gint64 now);
void grant_restore_instance (struct grant *grant,
                             const struct server_instance *instance,
                             guint32 slots);
void grant_on_answered (struct grant *grant,
                        const struct heartbeat_answer *answer, gint64 now);
void grant_on_order_sent (struct grant *grant, gint64 granted_until);
gboolean grant_covers_key (const struct grant *grant, guint32 key, gint64 now);
gboolean grant_may_run (const struct grant *grant);
gboolean grant_is_leaving (const struct grant *grant);
gboolean grant_is_expired (const struct grant *grant, gint64 now);
gboolean grant_is_abandoned (const struct grant *grant, gint64 now);
gboolean grant_is_released (const struct grant *grant,
                            const struct shard *shard, gint64 now,
                            const char **token);
gboolean grant_is_surrendered (const struct grant *grant,
                               const struct shard *shard);
gboolean grant_includes (const struct grant *grant, const struct shard *shard);
guint grant_range_count (const struct grant *grant, gint64 now);

#endif
