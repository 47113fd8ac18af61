#ifndef BAMBOOTALLY_KEY_RATE_H
#define BAMBOOTALLY_KEY_RATE_H

#include "types/shard_map.h"

/* How often each key that this node owns is asked for, of late.  */

struct key_rate
{
  guint32 *counts;      /* by key, in parts of KEY_RATE_UNIT */
  guint64 total_count;  /* of all keys */
  gint64 next_decay_at; /* all counts are halved then */
};

/* A range of keys that is asked for about as often as was wanted.  */
struct key_rate_range
{
  guint32 first; /* lowest key */
  guint32 last;  /* highest key; below first: there is no such range */
};

void key_rate_init (struct key_rate *heat);
void key_rate_clear (struct key_rate *heat);
void key_rate_add (struct key_rate *heat, guint32 key);
void key_rate_decay (struct key_rate *heat, gint64 now);
guint32 key_rate_total (const struct key_rate *heat);
guint32 key_rate_of (const struct key_rate *heat, guint32 key);
guint32 key_rate_busiest (const struct key_rate *heat,
                          const struct shard *shard);
void key_rate_reset (struct key_rate *heat, guint32 first, guint32 last);
struct key_rate_range key_rate_find_range (const struct key_rate *heat,
                                           const struct shard *shard,
                                           guint32 rate);

#endif
