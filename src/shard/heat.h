#ifndef BAMBOOTALLY_HEAT_H
#define BAMBOOTALLY_HEAT_H

#include "types/shard_map.h"

/* The recent request rate of each key that this node owns.  */

struct heat
{
  guint32 *count;  /* by key, in units of KEY_RATE_UNIT */
  guint64 total;   /* sum of all counts */
  gint64 halve_at; /* when all counts are halved next */
};

/* A range of keys with about the wanted request rate.  */
struct heat_range
{
  guint32 first; /* lowest key */
  guint32 last;  /* highest key; below `first': no such range */
};

void heat_init (struct heat *heat);
void heat_clear (struct heat *heat);
void heat_add (struct heat *heat, guint32 key);
void heat_step (struct heat *heat, gint64 now);
guint32 heat_rate (const struct heat *heat);
guint32 heat_of (const struct heat *heat, guint32 key);
guint32 heat_hottest (const struct heat *heat, const struct shard *shard);
void heat_drop (struct heat *heat, guint32 first, guint32 last);
struct heat_range heat_find (const struct heat *heat,
                             const struct shard *shard, guint32 rate);

#endif
