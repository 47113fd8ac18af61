#include "edge/latency.h"

#include "types/limits.h"

#define BOUNDS 17u           /* bounds double from 1 ms to 64 s (65536 ms) */
#define LAST_BOUND_MSEC 1e12 /* upper bound of the last bucket */

/* Initialize an empty histogram.  */
void
latency_init (struct latency *latency)
{
  double ranges[BOUNDS + 2];
  guint i;

  ranges[0] = 0;
  for (i = 0; i < BOUNDS; i++)
    ranges[i + 1] = (double)(1u << i);
  ranges[BOUNDS + 1] = LAST_BOUND_MSEC;
  latency->histogram = gsl_histogram_alloc (BOUNDS + 1);
  gsl_histogram_set_ranges (latency->histogram, ranges, BOUNDS + 2);
  latency->sum_msec = 0;
  latency->sample_count = 0;
}

/* Free the histogram.  */
void
latency_clear (struct latency *latency)
{
  gsl_histogram_free (latency->histogram);
}

/* Record a duration of USEC microseconds.  */
void
latency_add (struct latency *latency, gint64 usec)
{
  double msec = (double)MAX (usec, 0) / USEC_PER_MSEC;

  gsl_histogram_increment (latency->histogram, msec);
  latency->sum_msec += msec;
  latency->sample_count++;
}

/* Append the histogram to TEXT in the text format of Prometheus, under the
   name NAME.  The buckets are cumulative.  */
void
latency_format (const struct latency *latency, const char *name, GString *text)
{
  double cumulative = 0;
  double low;
  double high;
  gsize i;

  for (i = 0; i < gsl_histogram_bins (latency->histogram); i++)
    {
      gsl_histogram_get_range (latency->histogram, i, &low, &high);
      cumulative += gsl_histogram_get (latency->histogram, i);
      if (high < LAST_BOUND_MSEC)
        g_string_append_printf (text, "%s_ms_bucket{le=\"%g\"} %.0f\n", name,
                                high, cumulative);
    }
  g_string_append_printf (
      text, "%s_ms_sum %.3f\n%s_ms_count %" G_GUINT64_FORMAT "\n", name,
      latency->sum_msec, name, latency->sample_count);
}
