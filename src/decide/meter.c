#include "decide/meter.h"

#include <string.h>

#define HALVING_INTERVAL_USEC ((gint64)30000000)
#define SAMPLE_MIN_PER_SLICE 50.0 /* requests a slice that make a sample */
#define PRIOR_WEIGHT 0.1 /* weight of a slice that was not asked for */

/* Set up a meter that has counted nothing.  */
void
meter_init (struct meter *meter)
{
  memset (meter, 0, sizeof *meter);
  meter->slice_counts = g_array_new (FALSE, TRUE, sizeof (gdouble));
}

/* Release what METER holds.  */
void
meter_clear (struct meter *meter)
{
  g_array_free (meter->slice_counts, TRUE);
  memset (meter, 0, sizeof *meter);
}

/* Halve all counts if it is time.  */
static void
halve (struct meter *meter, gint64 now)
{
  guint i;

  if (now < meter->next_halving_at)
    return;
  meter->next_halving_at = now + HALVING_INTERVAL_USEC;
  meter->total_count /= 2;
  for (i = 0; i < meter->slice_counts->len; i++)
    g_array_index (meter->slice_counts, gdouble, i) /= 2;
}

/* Count one request for SLICE at NOW.  */
void
meter_add (struct meter *meter, guint32 slice, gint64 now)
{
  halve (meter, now);
  if (slice >= meter->slice_counts->len)
    g_array_set_size (meter->slice_counts, slice + 1);
  g_array_index (meter->slice_counts, gdouble, slice) += 1;
  meter->total_count += 1;
}

/* Fill WEIGHTS with what each of SLICES weighs, 1 in the mean; leave it empty
   where the sample is too small to tell.  */
void
meter_compute_weights (const struct meter *meter, guint32 slices,
                       GArray *weights)
{
  guint32 i;

  g_array_set_size (weights, 0);
  if (meter->total_count < SAMPLE_MIN_PER_SLICE * slices)
    return;
  g_array_set_size (weights, slices);
  for (i = 0; i < slices; i++)
    {
      gdouble count = i < meter->slice_counts->len
                          ? g_array_index (meter->slice_counts, gdouble, i)
                          : 0;
      g_array_index (weights, gdouble, i)
          = PRIOR_WEIGHT
            + (1 - PRIOR_WEIGHT) * count * slices / meter->total_count;
    }
}
