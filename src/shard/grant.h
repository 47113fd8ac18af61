#ifndef BAMBOOTALLY_GRANT_H
#define BAMBOOTALLY_GRANT_H

#include "types/heartbeat.h"
#include "types/shard_map.h"

/* What the backend server beside this node may hold, by its beats and by what
   it was answered.  Only this node grants it keys, so what was never granted
   is not held, and what was granted is held until the server has freed it, the
   grant has lapsed or that life of the server is over.  */

/* Grants are counted from the sending of a beat by a clock that may be 2 %
   slow; one more covers rounding.  */
#define GRANT_DRIFT_PERCENT 3
#define GRANT_MIN_USEC ((gint64)300000) /* shorter grants are not given */

struct grant
{
  struct server_instance instance; /* of the server; empty: never heard of */
  guint64 heartbeat_sequence;      /* of the last beat */
  guint32 slots;                   /* requests that it runs at once */
  gboolean heartbeat_received;     /* it has sent a beat to this process */
  gboolean is_draining;            /* it has said that it leaves */
  gboolean is_deregistered;        /* it has said goodbye */
  gboolean presumed_dead;   /* it seems to have ended: nothing listens */
  gint64 leave_acked_at;    /* when its leaving was acknowledged, 0: not */
  gint64 last_heartbeat_at; /* when its last beat came, 0: never */
  gint64 refused_since;     /* first refused connection since, 0: none */
  gint64 denied_until;      /* the server said that it lacks a key */
  gint64 granted_until;     /* nothing granted lasts longer */
  struct key_range *held_ranges;    /* what it holds by its last beat */
  guint32 held_count;               /* rows of it */
  struct key_range *granted_ranges; /* what it was granted last */
  guint32 granted_count;            /* rows of it */
  GArray *released_ranges;          /* struct key_range: tokens not used yet */
};

enum grant_change
{
  GRANT_SAME_INSTANCE, /* the life that is known */
  GRANT_NEW_INSTANCE,  /* another life has begun; the one before is over */
  GRANT_OUTDATED /* of a life that is over, or a beat that came too late */
};

void grant_init (struct grant *grant, gint64 hold_until);
void grant_clear (struct grant *grant);
enum grant_change grant_on_heartbeat (struct grant *grant,
                                      const struct heartbeat *heartbeat,
                                      gint64 now);
gboolean grant_on_deregister (struct grant *grant, const char *id, gint64 now);
void grant_on_key_denied (struct grant *grant, gint64 now);
void grant_on_misdirected (struct grant *grant);
gboolean grant_on_connection_refused (struct grant *grant, gint64 now);
void grant_restore_instance (struct grant *grant,
                             const struct server_instance *server_instance,
                             guint32 slots);
void grant_on_answered (struct grant *grant,
                        const struct heartbeat_answer *answer, gint64 now);
gboolean grant_covers_key (const struct grant *grant, guint32 key, gint64 now);
gboolean grant_is_leaving (const struct grant *grant);
gboolean grant_is_expired (const struct grant *grant, gint64 now);
gboolean grant_is_abandoned (const struct grant *grant, gint64 now);
gboolean grant_is_released (const struct grant *grant,
                            const struct shard *shard, gint64 now,
                            const char **token);

#endif
