#include "decide/sketch.h"

#include "decide/slice.h"

#include <string.h>

#define HALVING_INTERVAL_USEC ((gint64)10000000)

/* Initialise SKETCH without any counts.  */
void
sketch_init (struct sketch *sketch)
{
  memset (sketch, 0, sizeof *sketch);
}

/* Return a hash of KEY that is never 0.  */
static guint64
hash_key (const char *key)
{
  return slice_hash_text (key) | 1u;
}

/* Halve all counts, once for each HALVING_INTERVAL_USEC that has passed.  */
static void
halve (struct sketch *sketch, gint64 now)
{
  guint i;

  if (sketch->next_halving_at == 0)
    sketch->next_halving_at = now + HALVING_INTERVAL_USEC;
  while (now >= sketch->next_halving_at && sketch->total_count > 0)
    {
      sketch->next_halving_at += HALVING_INTERVAL_USEC;
      sketch->total_count /= 2;
      for (i = 0; i < SKETCH_KEYS; i++)
        {
          sketch->keys[i].count /= 2;
          sketch->keys[i].error /= 2;
        }
    }
  if (now >= sketch->next_halving_at)
    sketch->next_halving_at = now + HALVING_INTERVAL_USEC;
}

/* Return the entry of the key with HASH, or else the entry with the lowest
   count.  */
static struct sketch_key *
find_entry (struct sketch *sketch, guint64 hash)
{
  struct sketch_key *lowest = &sketch->keys[0];
  guint i;

  for (i = 0; i < SKETCH_KEYS; i++)
    {
      if (sketch->keys[i].hash == hash)
        return &sketch->keys[i];
      if (sketch->keys[i].count < lowest->count)
        lowest = &sketch->keys[i];
    }
  return lowest;
}

/* Count one run of KEY at NOW.  */
void
sketch_add (struct sketch *sketch, const char *key, gint64 now)
{
  guint64 hash = hash_key (key);
  struct sketch_key *entry;

  halve (sketch, now);
  entry = find_entry (sketch, hash);
  if (entry->hash != hash)
    {
      entry->hash = hash;
      entry->error = entry->count;
      g_strlcpy (entry->key, key, sizeof entry->key);
    }
  entry->count++;
  sketch->total_count++;
}

/* Return a lower bound for the share of all runs that the key of ENTRY
   has.  */
gdouble
sketch_min_share (const struct sketch *sketch, guint entry)
{
  const struct sketch_key *key = &sketch->keys[entry];

  if (sketch->total_count == 0)
    return 0;
  return (gdouble)(key->count - key->error) / (gdouble)sketch->total_count;
}

/* Return an upper bound for the share of all runs that KEY has, 0 if the key
   is not in the sketch.  */
gdouble
sketch_max_share (const struct sketch *sketch, const char *key)
{
  guint64 hash = hash_key (key);
  guint i;

  for (i = 0; i < SKETCH_KEYS && sketch->total_count > 0; i++)
    if (sketch->keys[i].hash == hash)
      return (gdouble)sketch->keys[i].count / (gdouble)sketch->total_count;
  return 0;
}
