#include "decide/sketch.h"

#include "decide/slice.h"

#include <string.h>

#define HALVING_INTERVAL_USEC ((gint64)10000000)

/* Set up a sketch that has counted nothing.  */
void
sketch_init (struct sketch *sketch)
{
  memset (sketch, 0, sizeof *sketch);
}

/* Hash KEY; never 0.  */
static guint64
hash_key (const char *key)
{
  return slice_hash_text (key) | 1u;
}

/* Halve all counts, once for each deadline that has passed.  */
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

/* The place of the key with HASH, or the one with the lowest count.  */
static struct sketch_key *
find_place (struct sketch *sketch, guint64 hash)
{
  struct sketch_key *least = &sketch->keys[0];
  guint i;

  for (i = 0; i < SKETCH_KEYS; i++)
    {
      if (sketch->keys[i].hash == hash)
        return &sketch->keys[i];
      if (sketch->keys[i].count < least->count)
        least = &sketch->keys[i];
    }
  return least;
}

/* Count one run of KEY at NOW.  */
void
sketch_add (struct sketch *sketch, const char *key, gint64 now)
{
  guint64 hash = hash_key (key);
  struct sketch_key *place;

  halve (sketch, now);
  place = find_place (sketch, hash);
  if (place->hash != hash)
    {
      place->hash = hash;
      place->error = place->count;
      g_strlcpy (place->key, key, sizeof place->key);
    }
  place->count++;
  sketch->total_count++;
}

/* The share of all runs that the key in PLACE has at least.  */
gdouble
sketch_min_share (const struct sketch *sketch, guint place)
{
  const struct sketch_key *key = &sketch->keys[place];

  if (sketch->total_count == 0)
    return 0;
  return (gdouble)(key->count - key->error) / (gdouble)sketch->total_count;
}

/* The share of all runs that KEY has at most.  */
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
