#include "decide/meter.h"

#include <string.h>

#define HALVE_EVERY_USEC ((gint64)30000000)
#define SAMPLE_MIN 50.0 /* requests per slice that make a sufficient sample   \
                         */
#define PRIOR 0.1       /* weight of a slice without requests */

/* Initialise METER without any counts.  */
void
meter_init (struct meter *meter)
{
  memset (meter, 0, sizeof *meter);
  meter->counts = g_array_new (FALSE, TRUE, sizeof (gdouble));
}

/* Free the memory of METER.  */
void
meter_clear (struct meter *meter)
{
  g_array_free (meter->counts, TRUE);
  memset (meter, 0, sizeof *meter);
}

/* Halve all counts if it is time to.  */
static void
halve (struct meter *meter, gint64 now)
{
  guint i;

  if (now < meter->halve_at)
    return;
  meter->halve_at = now + HALVE_EVERY_USEC;
  meter->total /= 2;
  for (i = 0; i < meter->counts->len; i++)
    g_array_index (meter->counts, gdouble, i) /= 2;
}

/* Count one request for SLICE at NOW.  */
void
meter_add (struct meter *meter, guint32 slice, gint64 now)
{
  halve (meter, now);
  if (slice >= meter->counts->len)
    g_array_set_size (meter->counts, slice + 1);
  g_array_index (meter->counts, gdouble, slice) += 1;
  meter->total += 1;
}

/* Fill WEIGHTS with the load of each of SLICES slices, scaled to a mean of 1.
   WEIGHTS is left empty if the sample is too small.  */
void
meter_weigh (const struct meter *meter, guint32 slices, GArray *weights)
{
  guint32 i;

  g_array_set_size (weights, 0);
  if (meter->total < SAMPLE_MIN * slices)
    return;
  g_array_set_size (weights, slices);
  for (i = 0; i < slices; i++)
    {
      gdouble count = i < meter->counts->len
                          ? g_array_index (meter->counts, gdouble, i)
                          : 0;
      g_array_index (weights, gdouble, i)
          = PRIOR + (1 - PRIOR) * count * slices / meter->total;
    }
}
