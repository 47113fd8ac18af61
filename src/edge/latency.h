#ifndef BAMBOOTALLY_LATENCY_H
#define BAMBOOTALLY_LATENCY_H

#include <glib.h>
#include <gsl/gsl_histogram.h>

/* How long something took, as a histogram with ranges that double.  */

struct latency
{
  gsl_histogram *histogram; /* milliseconds */
  double sum_msec;          /* of all, milliseconds */
  guint64 sample_count;     /* of all */
};

void latency_init (struct latency *latency);
void latency_clear (struct latency *latency);
void latency_add (struct latency *latency, gint64 usec);
void latency_format (const struct latency *latency, const char *name,
                     GString *text);

#endif
