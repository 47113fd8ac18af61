#ifndef BAMBOOTALLY_METER_H
#define BAMBOOTALLY_METER_H

#include <glib.h>

/* Counts the requests that enter at this node, by slice: a sample of the load
   of the slices of its service.  Counts are halved at a fixed interval.  */

struct meter
{
  GArray *slice_counts;   /* gdouble by slice: requests counted */
  gdouble total_count;    /* requests of all slices */
  gint64 next_halving_at; /* when counts are halved next, monotonic usec */
};

void meter_init (struct meter *meter);
void meter_clear (struct meter *meter);
void meter_add (struct meter *meter, guint32 slice, gint64 now);
void meter_compute_weights (const struct meter *meter, guint32 slices,
                            GArray *weights);

#endif
