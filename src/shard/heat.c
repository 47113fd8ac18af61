#include "shard/heat.h"

#define HEAT_UNIT 1024u              /* one request */
#define HALVE_USEC ((gint64)1000000) /* between halvings */

/* Counts that are halved every second settle, between two halvings, around one
   and a half of what comes in a second.  */
#define SETTLED_NUM 2u
#define SETTLED_DEN 3u

/* A range may have so many percent of the rate that was wanted.  */
#define RANGE_LEAST 50u
#define RANGE_MOST 130u

/* Set up with no request seen.  */
void
heat_init (struct heat *heat)
{
  heat->count = g_new0 (guint32, SHARD_KEY_COUNT);
  heat->total = 0;
  heat->halve_at = 0;
}

/* Release the counts.  */
void
heat_clear (struct heat *heat)
{
  g_free (heat->count);
}

/* A request for KEY came.  */
void
heat_add (struct heat *heat, guint32 key)
{
  heat->count[key] += HEAT_UNIT;
  heat->total += HEAT_UNIT;
}

/* Halve the counts where that is due at NOW.  */
void
heat_step (struct heat *heat, gint64 now)
{
  guint32 key;

  if (now < heat->halve_at)
    return;
  heat->halve_at = now + HALVE_USEC;
  if (heat->total == 0)
    return;
  heat->total = 0;
  for (key = 0; key < SHARD_KEY_COUNT; key++)
    {
      heat->count[key] /= 2;
      heat->total += heat->count[key];
    }
}

/* Requests in a second, of a count.  */
static guint64
rate_of (guint64 count)
{
  return count * SETTLED_NUM / SETTLED_DEN / HEAT_UNIT;
}

/* Requests in a second for all keys.  */
guint32
heat_rate (const struct heat *heat)
{
  return (guint32)rate_of (heat->total);
}

/* The keys FIRST to LAST are asked for elsewhere from now on.  */
void
heat_drop (struct heat *heat, guint32 first, guint32 last)
{
  guint32 key;

  for (key = first; key <= last; key++)
    {
      heat->total -= heat->count[key];
      heat->count[key] = 0;
    }
}

/* Requests in a second for KEY.  */
guint32
heat_of (const struct heat *heat, guint32 key)
{
  return (guint32)rate_of (heat->count[key]);
}

/* The key of SHARD that is asked for most.  */
guint32
heat_hottest (const struct heat *heat, const struct shard *shard)
{
  guint32 best = shard->first;
  guint32 key;

  for (key = shard->first; key <= shard->last; key++)
    if (heat->count[key] > heat->count[best])
      best = key;
  return best;
}

/* The shortest range of SHARD that is asked for about RATE times a second.  A
   single key that is asked for much more often is in none: to move it would
   only move the trouble.  */
struct heat_range
heat_find (const struct heat *heat, const struct shard *shard, guint32 rate)
{
  struct heat_range best = { 1, 0 };
  guint64 unit = (guint64)rate * HEAT_UNIT * SETTLED_DEN / SETTLED_NUM / 100;
  guint32 shortest = G_MAXUINT32;
  guint32 left = shard->first;
  guint32 right;
  guint64 sum = 0;

  for (right = shard->first; right <= shard->last; right++)
    {
      sum += heat->count[right];
      while (left < right && sum - heat->count[left] >= unit * RANGE_LEAST)
        sum -= heat->count[left++];
      if (sum < unit * RANGE_LEAST || sum > unit * RANGE_MOST
          || right - left >= shortest)
        continue;
      shortest = right - left;
      best.first = left;
      best.last = right;
    }
  return best;
}
