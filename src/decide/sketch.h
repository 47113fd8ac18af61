#ifndef BAMBOOTALLY_SKETCH_H
#define BAMBOOTALLY_SKETCH_H

#include "types/limits.h"
#include <glib.h>

/* The most frequent keys, in fixed memory, by the space-saving algorithm.  A
   key with more than one in SKETCH_KEYS of all runs is certain to be in the
   sketch, and its count is at most its error too high.  Counts are halved at a
   fixed interval, so that old runs lose their weight.  */

#define SKETCH_KEYS 64u /* keys that are counted at once */

/* A counted key.  */
struct sketch_key
{
  guint64 hash;       /* hash of the key, 0 for a free entry */
  guint32 count;      /* runs of the key, at most error too high */
  guint32 error;      /* count of the entry when this key replaced another */
  char key[KEY_SIZE]; /* the key */
};

struct sketch
{
  struct sketch_key keys[SKETCH_KEYS]; /* entries, in no order */
  guint64 total_count;                 /* runs of all keys */
  gint64 next_halving_at; /* when counts are halved next, monotonic usec */
};

void sketch_init (struct sketch *sketch);
void sketch_add (struct sketch *sketch, const char *key, gint64 now);
gdouble sketch_min_share (const struct sketch *sketch, guint entry);
gdouble sketch_max_share (const struct sketch *sketch, const char *key);

#endif
