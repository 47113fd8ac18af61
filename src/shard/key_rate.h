#ifndef BAMBOOTALLY_KEY_RATE_H
#define BAMBOOTALLY_KEY_RATE_H

#include "types/shard_map.h"

/* The recent request rate of each key that this node owns.  */

struct key_rate
{
  guint32 *counts;          /* decaying request count of each key, in units of
                               KEY_RATE_UNIT */
  guint64 total_count;      /* sum of all counts */
  gint64 next_decay_at;     /* when all counts are halved next */
  guint32 since_decay_msec; /* time since they were halved, at the last call of
                               key_rate_decay */
};

/* A range of keys with about the wanted request rate.  */
struct key_rate_range
{
  guint32 first; /* lowest key */
  guint32 last;  /* highest key; below `first': no such range */
};

void key_rate_init (struct key_rate *rates);
void key_rate_clear (struct key_rate *rates);
void key_rate_add (struct key_rate *rates, guint32 key);
void key_rate_decay (struct key_rate *rates, gint64 now);
guint32 key_rate_total (const struct key_rate *rates);
guint32 key_rate_of (const struct key_rate *rates, guint32 key);
guint32 key_rate_busiest (const struct key_rate *rates,
                          const struct shard *shard);
void key_rate_reset (struct key_rate *rates, guint32 first, guint32 last);
gboolean key_rate_matches_shard (const struct key_rate *rates,
                                 const struct shard *shard, guint32 rate);
struct key_rate_range key_rate_find_range (const struct key_rate *rates,
                                           const struct shard *shard,
                                           guint32 rate);

#endif
