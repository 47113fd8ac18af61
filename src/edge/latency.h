#ifndef BAMBOOTALLY_LATENCY_H
#define BAMBOOTALLY_LATENCY_H

#include <glib.h>
#include <gsl/gsl_histogram.h>

/* Histogram of durations in buckets whose bounds double.  */

struct latency
{
  gsl_histogram *histogram; /* durations in milliseconds */
  double sum_msec;          /* sum of all durations in milliseconds */
  guint64 sample_count;     /* number of durations recorded */
};

void latency_init (struct latency *latency);
void latency_clear (struct latency *latency);
void latency_add (struct latency *latency, gint64 usec);
void latency_format (const struct latency *latency, const char *name,
                     GString *text);

#endif
