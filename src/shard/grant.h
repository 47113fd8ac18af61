#ifndef BAMBOOTALLY_GRANT_H
#define BAMBOOTALLY_GRANT_H

#include "types/beat.h"
#include "types/shard_map.h"

/* The key ranges that the local backend server may hold, according to its
   heartbeats and to the answers it got.  Only this node grants keys to it.  So
   a key that was never granted is not held, and a granted key is held until
   the server releases it, the grant expires or that server instance has
   ended.  */

/* Percent by which a grant is shortened.  A grant counts from the sending of
   the heartbeat, by a clock that may be 2 % slow; 1 % more covers
   rounding.  */
#define HOLD_DRIFT_PERCENT 3
#define HOLD_LEAST_USEC ((gint64)300000) /* shorter grants are not given */

struct grant
{
  struct life life;   /* the known server instance; empty: none known */
  guint64 number;     /* number of the last heartbeat of the instance */
  guint32 slots;      /* requests that the server runs at once */
  gboolean heard;     /* this process has received a heartbeat */
  gboolean draining;  /* the server has announced that it stops */
  gboolean left;      /* the server has deregistered */
  gboolean dead;      /* nothing listens at the port of the server */
  gint64 leave_at;    /* when the announced stop was acknowledged, 0: not */
  gint64 beat_at;     /* when the last heartbeat came, 0: never */
  gint64 refused_at;  /* first refused connection since the last heartbeat, 0:
                         none */
  gint64 doubt_until; /* no keyed requests until then: the server denied
                         holding a key */
  gint64 hold_until;  /* end of the latest grant */
  struct beat_row *hold; /* ranges held by the last heartbeat */
  guint32 held;          /* used entries of `held_ranges' */
  struct beat_row *give; /* ranges that the server was granted last */
  guint32 given;         /* used entries of `granted_ranges' */
  GArray *freed; /* struct key_range: released ranges with unused handover
                    tokens */
};

enum grant_news
{
  GRANT_SAME,    /* from the known instance */
  GRANT_NEW,     /* a new instance has started; the previous one has ended */
  GRANT_OUTDATED /* from an ended instance, or out of order */
};

void grant_init (struct grant *grant, gint64 hold_until);
void grant_clear (struct grant *grant);
enum grant_news grant_on_beat (struct grant *grant, const struct beat *beat,
                               gint64 now);
gboolean grant_on_leave (struct grant *grant, const char *id, gint64 now);
void grant_on_denied (struct grant *grant, gint64 now);
void grant_on_misdirected (struct grant *grant);
gboolean grant_on_refused (struct grant *grant, gint64 now);
void grant_adopt (struct grant *grant, const struct life *life, guint32 slots);
void grant_give (struct grant *grant, const struct beat_answer *answer,
                 gint64 now);
gboolean grant_has (const struct grant *grant, guint32 key, gint64 now);
gboolean grant_is_leaving (const struct grant *grant);
gboolean grant_is_over (const struct grant *grant, gint64 now);
gboolean grant_is_gone (const struct grant *grant, gint64 now);
gboolean grant_is_released (const struct grant *grant,
                            const struct shard *shard, gint64 now,
                            const char **token);

#endif
