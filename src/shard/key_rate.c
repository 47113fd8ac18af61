#include "shard/key_rate.h"

#define KEY_RATE_UNIT 1024u              /* weight of one request */
#define HALF_LIFE_USEC ((gint64)1000000) /* half-life of the counts */

/* Counts that are halved every second converge to the requests of one second
   after they were halved, and to those of two seconds before that.  */
#define FULL_COUNT_MSEC 1000u
#define MSEC_PER_SEC 1000u
#define USEC_PER_MSEC 1000

/* Until the counts are halved first, half of a second is assumed to have
   passed.  */
#define UNKNOWN_PHASE_MSEC 500u

/* Least and greatest rate of a range, in percent of the wanted rate.  */
#define RANGE_MIN_PERCENT 50u
#define RANGE_MAX_PERCENT 130u

/* Initialize RATES without requests.  */
void
key_rate_init (struct key_rate *rates)
{
  rates->counts = g_new0 (guint32, SHARD_KEY_COUNT);
  rates->total_count = 0;
  rates->next_decay_at = 0;
  rates->since_decay_msec = UNKNOWN_PHASE_MSEC;
}

/* Free the counts.  */
void
key_rate_clear (struct key_rate *rates)
{
  g_free (rates->counts);
}

/* Count a request for KEY.  */
void
key_rate_add (struct key_rate *rates, guint32 key)
{
  rates->counts[key] += KEY_RATE_UNIT;
  rates->total_count += KEY_RATE_UNIT;
}

/* Halve the counts if that is due at NOW, and note how long ago that was.  */
void
key_rate_decay (struct key_rate *rates, gint64 now)
{
  guint32 key;

  if (now < rates->next_decay_at)
    {
      rates->since_decay_msec
          = (guint32)((HALF_LIFE_USEC - (rates->next_decay_at - now))
                      / USEC_PER_MSEC);
      return;
    }
  rates->since_decay_msec = 0;
  rates->next_decay_at = now + HALF_LIFE_USEC;
  if (rates->total_count == 0)
    return;
  rates->total_count = 0;
  for (key = 0; key < SHARD_KEY_COUNT; key++)
    {
      rates->counts[key] /= 2;
      rates->total_count += rates->counts[key];
    }
}

/* Return the time in which the requests that RATES contains arrived, in
   milliseconds.  */
static guint64
counted_msec (const struct key_rate *rates)
{
  return FULL_COUNT_MSEC + rates->since_decay_msec;
}

/* Convert a count of RATES to requests per second.  */
static guint64
rate_of (const struct key_rate *rates, guint64 count)
{
  return count * MSEC_PER_SEC / counted_msec (rates) / KEY_RATE_UNIT;
}

/* Return the count of RATE requests per second.  */
static guint64
rate_unit (const struct key_rate *rates, guint32 rate)
{
  return (guint64)rate * KEY_RATE_UNIT * counted_msec (rates) / MSEC_PER_SEC;
}

/* Return the requests per second for all keys.  */
guint32
key_rate_total (const struct key_rate *rates)
{
  return (guint32)rate_of (rates, rates->total_count);
}

/* Clear the counts of the keys FIRST to LAST, which are served elsewhere from
   now on.  */
void
key_rate_reset (struct key_rate *rates, guint32 first, guint32 last)
{
  guint32 key;

  for (key = first; key <= last; key++)
    {
      rates->total_count -= rates->counts[key];
      rates->counts[key] = 0;
    }
}

/* Return the requests per second for KEY.  */
guint32
key_rate_of (const struct key_rate *rates, guint32 key)
{
  return (guint32)rate_of (rates, rates->counts[key]);
}

/* Return whether SHARD as a whole gets about RATE requests per second, within
   the bounds for a range.  */
gboolean
key_rate_matches_shard (const struct key_rate *rates,
                        const struct shard *shard, guint32 rate)
{
  guint64 percent_unit = rate_unit (rates, rate) / 100;
  guint64 sum = 0;
  guint32 key;

  for (key = shard->first; key <= shard->last; key++)
    sum += rates->counts[key];
  return sum >= percent_unit * RANGE_MIN_PERCENT
         && sum <= percent_unit * RANGE_MAX_PERCENT;
}

/* Return the key of SHARD with the most requests.  */
guint32
key_rate_busiest (const struct key_rate *rates, const struct shard *shard)
{
  guint32 found = shard->first;
  guint32 key;

  for (key = shard->first; key <= shard->last; key++)
    if (rates->counts[key] > rates->counts[found])
      found = key;
  return found;
}

/* Return the shortest range of SHARD with about RATE requests per second.  A
   single key with a much higher rate is in no range: the move of such a key
   would only move the overload.  */
struct key_rate_range
key_rate_find_range (const struct key_rate *rates, const struct shard *shard,
                     guint32 rate)
{
  struct key_rate_range found = { 1, 0 };
  guint64 percent_unit = rate_unit (rates, rate) / 100;
  guint32 shortest = G_MAXUINT32;
  guint32 left = shard->first;
  guint32 right;
  guint64 sum = 0;

  for (right = shard->first; right <= shard->last; right++)
    {
      sum += rates->counts[right];
      while (left < right
             && sum - rates->counts[left] >= percent_unit * RANGE_MIN_PERCENT)
        sum -= rates->counts[left++];
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
