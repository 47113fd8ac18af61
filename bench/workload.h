#ifndef BENCH_RUSH_H
#define BENCH_RUSH_H

#include <glib.h>

/* Requests for keys drawn at random: a Zipf law over the keys, and maybe one
   hot key that draws a share of its own.  */

struct workload
{
  guint32 key_count;          /* keys that there are */
  guint64 request_count;      /* requests in each of the two halves */
  guint64 *training_counts;   /* requests by key that placement learns from */
  guint64 *evaluation_counts; /* requests by key that it is judged by */
};

void workload_draw (struct workload *rush, guint32 keys, gdouble exponent,
                    gdouble hot_share, guint64 total, guint64 seed);
void workload_clear (struct workload *rush);
void workload_key_name (guint32 key, char *name, gsize size);

#endif
