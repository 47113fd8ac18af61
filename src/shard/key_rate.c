#include "shard/key_rate.h"

#define KEY_RATE_UNIT 1024u          /* one request */
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
key_rate_init (struct key_rate *heat)
{
  heat->counts = g_new0 (guint32, SHARD_KEY_COUNT);
  heat->total_count = 0;
  heat->next_decay_at = 0;
}

/* Release the counts.  */
void
key_rate_clear (struct key_rate *heat)
{
  g_free (heat->counts);
}

/* A request for KEY came.  */
void
key_rate_add (struct key_rate *heat, guint32 key)
{
  heat->counts[key] += KEY_RATE_UNIT;
  heat->total_count += KEY_RATE_UNIT;
}

/* Halve the counts where that is due at NOW.  */
void
key_rate_decay (struct key_rate *heat, gint64 now)
{
  guint32 key;

  if (now < heat->next_decay_at)
    return;
  heat->next_decay_at = now + HALVE_USEC;
  if (heat->total_count == 0)
    return;
  heat->total_count = 0;
  for (key = 0; key < SHARD_KEY_COUNT; key++)
    {
      heat->counts[key] /= 2;
      heat->total_count += heat->counts[key];
    }
}

/* Requests in a second, of a count.  */
static guint64
rate_of (guint64 count)
{
  return count * SETTLED_NUM / SETTLED_DEN / KEY_RATE_UNIT;
}

/* Requests in a second for all keys.  */
guint32
key_rate_total (const struct key_rate *heat)
{
  return (guint32)rate_of (heat->total_count);
}

/* The keys FIRST to LAST are asked for elsewhere from now on.  */
void
key_rate_reset (struct key_rate *heat, guint32 first, guint32 last)
{
  guint32 key;

  for (key = first; key <= last; key++)
    {
      heat->total_count -= heat->counts[key];
      heat->counts[key] = 0;
    }
}

/* Requests in a second for KEY.  */
guint32
key_rate_of (const struct key_rate *heat, guint32 key)
{
  return (guint32)rate_of (heat->counts[key]);
}

/* The key of SHARD that is asked for most.  */
guint32
key_rate_busiest (const struct key_rate *heat, const struct shard *shard)
{
  guint32 best = shard->first;
  guint32 key;

  for (key = shard->first; key <= shard->last; key++)
    if (heat->counts[key] > heat->counts[best])
      best = key;
  return best;
}

/* The shortest range of SHARD that is asked for about RATE times a second.  A
   single key that is asked for much more often is in none: to move it would
   only move the trouble.  */
struct key_rate_range
key_rate_find_range (const struct key_rate *heat, const struct shard *shard,
                     guint32 rate)
{
  struct key_rate_range best = { 1, 0 };
  guint64 unit
      = (guint64)rate * KEY_RATE_UNIT * SETTLED_DEN / SETTLED_NUM / 100;
  guint32 shortest = G_MAXUINT32;
  guint32 left = shard->first;
  guint32 right;
  guint64 sum = 0;

  for (right = shard->first; right <= shard->last; right++)
    {
      sum += heat->counts[right];
      while (left < right && sum - heat->counts[left] >= unit * RANGE_LEAST)
        sum -= heat->counts[left++];
      if (sum < unit * RANGE_LEAST || sum > unit * RANGE_MOST
          || right - left >= shortest)
        continue;
      shortest = right - left;
      best.first = left;
      best.last = right;
    }
  return best;
}
