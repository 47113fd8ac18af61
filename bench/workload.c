#include "bench/workload.h"

#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <math.h>
#include <stdio.h>

/* Draw TOTAL keys from LAW and add them to COUNTS, the requests by key.  */
static void
draw_half (const gsl_ran_discrete_t *law, gsl_rng *rng, guint64 total,
           guint64 *counts)
{
  guint64 i;

  for (i = 0; i < total; i++)
    counts[gsl_ran_discrete (rng, law)]++;
}

/* Initialize WORKLOAD with TOTAL training and TOTAL evaluation requests drawn
   with SEED from KEYS keys.  The weight of key K is 1 / (K + 1) ^ EXPONENT; if
   HOT_SHARE is not 0, key 0 gets that share of all requests instead.  */
void
workload_draw (struct workload *workload, guint32 keys, gdouble exponent,
               gdouble hot_share, guint64 total, guint64 seed)
{
  gdouble *weights = g_new (gdouble, keys);
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_taus2);
  gsl_ran_discrete_t *law;
  gdouble sum = 0;
  guint32 i;

  for (i = 0; i < keys; i++)
    {
      weights[i] = pow (i + 1, -exponent);
      sum += i > 0 ? weights[i] : 0;
    }
  if (hot_share > 0)
    weights[0] = sum * hot_share / (1 - hot_share);
  gsl_rng_set (rng, seed);
  law = gsl_ran_discrete_preproc (keys, weights);
  workload->key_count = keys;
  workload->request_count = total;
  workload->training_counts = g_new0 (guint64, keys);
  workload->evaluation_counts = g_new0 (guint64, keys);
  draw_half (law, rng, total, workload->training_counts);
  draw_half (law, rng, total, workload->evaluation_counts);
  gsl_ran_discrete_free (law);
  gsl_rng_free (rng);
  g_free (weights);
}

/* Free the memory of WORKLOAD.  */
void
workload_clear (struct workload *workload)
{
  g_free (workload->training_counts);
  g_free (workload->evaluation_counts);
}

/* Write the name of KEY to NAME, a buffer of SIZE bytes.  */
void
workload_key_name (guint32 key, char *name, gsize size)
{
  snprintf (name, size, "plan-%u", key);
}
