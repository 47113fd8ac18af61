#include "edge/latency.h"

#include "types/limits.h"

#define RANGES 17u        /* from less than 1 ms to 64 s */
#define LONGEST_MSEC 1e12 /* end of the last range */

/* Set up an empty histogram.  */
void
latency_init (struct latency *latency)
{
  double ranges[RANGES + 2];
  guint i;

  ranges[0] = 0;
  for (i = 0; i < RANGES; i++)
    ranges[i + 1] = (double)(1u << i);
  ranges[RANGES + 1] = LONGEST_MSEC;
  latency->histogram = gsl_histogram_alloc (RANGES + 1);
  gsl_histogram_set_ranges (latency->histogram, ranges, RANGES + 2);
  latency->sum_msec = 0;
  latency->sample_count = 0;
}

/* Release the histogram.  */
void
latency_clear (struct latency *latency)
{
  gsl_histogram_free (latency->histogram);
}

/* Something took USEC.  */
void
latency_add (struct latency *latency, gint64 usec)
{
  double msec = (double)MAX (usec, 0) / USEC_PER_MSEC;

  gsl_histogram_increment (latency->histogram, msec);
  latency->sum_msec += msec;
  latency->sample_count++;
}

/* Add the histogram to TEXT, a line a range that holds any, each with all that
   took less.  */
void
latency_format (const struct latency *latency, const char *name, GString *text)
{
  double total = 0;
  double low;
  double high;
  gsize i;

  for (i = 0; i < gsl_histogram_bins (latency->histogram); i++)
    {
      gsl_histogram_get_range (latency->histogram, i, &low, &high);
      total += gsl_histogram_get (latency->histogram, i);
      if (high < LONGEST_MSEC)
        g_string_append_printf (text, "%s_ms_bucket{le=\"%g\"} %.0f\n", name,
                                high, total);
    }
  g_string_append_printf (
      text, "%s_ms_sum %.3f\n%s_ms_count %" G_GUINT64_FORMAT "\n", name,
      latency->sum_msec, name, latency->sample_count);
}
