#ifndef BENCH_WORKLOAD_H
#define BENCH_WORKLOAD_H

#include <glib.h>

/* A random load: requests for keys by a Zipf distribution, optionally with one
   hot key that gets a fixed share of all requests.  The slice weights are
   computed from the training requests, the imbalance from the evaluation
   requests.  */

struct workload
{
  guint32 key_count;          /* number of distinct keys */
  guint64 request_count;      /* of each kind, training and evaluation */
  guint64 *training_counts;   /* training requests for each key */
  guint64 *evaluation_counts; /* evaluation requests for each key */
};

void workload_draw (struct workload *workload, guint32 keys, gdouble exponent,
                    gdouble hot_share, guint64 total, guint64 seed);
void workload_clear (struct workload *workload);
void workload_key_name (guint32 key, char *name, gsize size);

#endif
