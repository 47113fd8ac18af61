#ifndef BAMBOOTALLY_SKETCH_H
#define BAMBOOTALLY_SKETCH_H

#include "types/limits.h"
#include <glib.h>

/* The keys that are run most, in fixed memory: the space-saving algorithm.  A
   key that runs more than one in SKETCH_KEYS times is in the sketch for sure,
   and its count is too high by its error at most.  Counts are halved at a
   deadline, so that old runs fade.  */

#define SKETCH_KEYS 64u /* keys that are counted at once */

/* One key that is counted.  */
struct sketch_key
{
  guint64 hash;       /* of the key; 0 where the place is free */
  guint32 count;      /* runs, too high by error at most */
  guint32 error;      /* count of the key that was here before */
  char key[KEY_SIZE]; /* the key */
};

struct sketch
{
  struct sketch_key keys[SKETCH_KEYS]; /* in no order */
  guint64 total_count;                 /* runs of all keys */
  gint64 next_halving_at;              /* when counts are halved next */
};

void sketch_init (struct sketch *sketch);
void sketch_add (struct sketch *sketch, const char *key, gint64 now);
gdouble sketch_min_share (const struct sketch *sketch, guint place);
gdouble sketch_max_share (const struct sketch *sketch, const char *key);

#endif
