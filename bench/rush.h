#ifndef BENCH_RUSH_H
#define BENCH_RUSH_H

#include <glib.h>

/* Requests for keys drawn at random: a Zipf law over the keys, and maybe one
   hot key that draws a share of its own.  */

struct rush
{
  guint32 keys;   /* keys that there are */
  guint64 total;  /* requests in each of the two halves */
  guint64 *seen;  /* requests by key that placement learns from */
  guint64 *later; /* requests by key that it is judged by */
};

void rush_draw (struct rush *rush, guint32 keys, gdouble exponent,
                gdouble hot_share, guint64 total, guint64 seed);
void rush_clear (struct rush *rush);
void rush_name (guint32 key, char *name, gsize size);

#endif
