#ifndef BAMBOOTALLY_METER_H
#define BAMBOOTALLY_METER_H

#include <glib.h>

/* Requests by slice, among those that enter at this node: a sample of what the
   slices of its service weigh.  Counts are halved at a deadline.  */

struct meter
{
  GArray *slice_counts;   /* gdouble by slice */
  gdouble total_count;    /* of all slices */
  gint64 next_halving_at; /* when counts are halved next, monotonic usec */
};

void meter_init (struct meter *meter);
void meter_clear (struct meter *meter);
void meter_add (struct meter *meter, guint32 slice, gint64 now);
void meter_compute_weights (const struct meter *meter, guint32 slices,
                            GArray *weights);

#endif
