#include "shard/heat.h"

#define HEAT_UNIT 1024u                  /* weight of one request */
#define HALF_LIFE_USEC ((gint64)1000000) /* half-life of the counts */

/* Counts that are halved every second converge to an average of one and a half
   times the requests of a second.  */
#define PER_SECOND_NUM 2u
#define PER_SECOND_DEN 3u

/* Percent of the wanted rate that a range may have.  */
#define RANGE_MIN_PERCENT 50u
#define RANGE_MAX_PERCENT 130u

/* Initializes KEY_RATE without requests.  */
void
heat_init (struct heat *heat)
{
  heat->count = g_new0 (guint32, SHARD_KEYS);
  heat->total = 0;
  heat->halve_at = 0;
}

/* Frees the counts.  */
void
heat_clear (struct heat *heat)
{
  g_free (heat->count);
}

/* Counts a request for KEY.  */
void
heat_add (struct heat *heat, guint32 key)
{
  heat->count[key] += HEAT_UNIT;
  heat->total += HEAT_UNIT;
}

/* Halves the counts if that is due at NOW.  */
void
heat_step (struct heat *heat, gint64 now)
{
  guint32 key;

  if (now < heat->halve_at)
    return;
  heat->halve_at = now + HALF_LIFE_USEC;
  if (heat->total == 0)
    return;
  heat->total = 0;
  for (key = 0; key < SHARD_KEYS; key++)
    {
      heat->count[key] /= 2;
      heat->total += heat->count[key];
    }
}

/* Converts a count to requests per second.  */
static guint64
rate_of (guint64 count)
{
  return count * PER_SECOND_NUM / PER_SECOND_DEN / HEAT_UNIT;
}

/* Returns the requests per second for all keys.  */
guint32
heat_rate (const struct heat *heat)
{
  return (guint32)rate_of (heat->total);
}

/* Clears the counts of the keys FIRST to LAST, which are served elsewhere from
   now on.  */
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

/* Returns the requests per second for KEY.  */
guint32
heat_of (const struct heat *heat, guint32 key)
{
  return (guint32)rate_of (heat->count[key]);
}

/* Returns the key of SHARD with the most requests.  */
guint32
heat_hottest (const struct heat *heat, const struct shard *shard)
{
  guint32 found = shard->first;
  guint32 key;

  for (key = shard->first; key <= shard->last; key++)
    if (heat->count[key] > heat->count[found])
      found = key;
  return found;
}

/* Returns the shortest range of SHARD with about RATE requests per second.  A
   single key with a much higher rate is in no range: moving it would only move
   the overload.  */
struct heat_range
heat_find (const struct heat *heat, const struct shard *shard, guint32 rate)
{
  struct heat_range found = { 1, 0 };
  guint64 percent_unit
      = (guint64)rate * HEAT_UNIT * PER_SECOND_DEN / PER_SECOND_NUM / 100;
  guint32 shortest = G_MAXUINT32;
  guint32 left = shard->first;
  guint32 right;
  guint64 sum = 0;

  for (right = shard->first; right <= shard->last; right++)
    {
      sum += heat->count[right];
      while (left < right
             && sum - heat->count[left] >= percent_unit * RANGE_MIN_PERCENT)
        sum -= heat->count[left++];
      if (sum < percent_unit * RANGE_MIN_PERCENT
          || sum > percent_unit * RANGE_MAX_PERCENT
          || right - left >= shortest)
        continue;
      shortest = right - left;
      found.first = left;
      found.last = right;
    }
  return found;
}
