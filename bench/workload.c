#include "bench/workload.h"

#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <math.h>
#include <stdio.h>

/* Fill COUNTS with TOTAL draws.  */
static void
draw_half (const gsl_ran_discrete_t *law, gsl_rng *rng, guint64 total,
           guint64 *counts)
{
  guint64 i;

  for (i = 0; i < total; i++)
    counts[gsl_ran_discrete (rng, law)]++;
}

/* Draw TOTAL requests twice over KEYS keys: key K with a weight of
   1 / (K + 1) ^ EXPONENT, and key 0 with HOT_SHARE of all if that is not
   0.  */
void
workload_draw (struct workload *rush, guint32 keys, gdouble exponent,
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
  rush->key_count = keys;
  rush->request_count = total;
  rush->training_counts = g_new0 (guint64, keys);
  rush->evaluation_counts = g_new0 (guint64, keys);
  draw_half (law, rng, total, rush->training_counts);
  draw_half (law, rng, total, rush->evaluation_counts);
  gsl_ran_discrete_free (law);
  gsl_rng_free (rng);
  g_free (weights);
}

/* Release what RUSH holds.  */
void
workload_clear (struct workload *rush)
{
  g_free (rush->training_counts);
  g_free (rush->evaluation_counts);
}

/* Write the name of KEY to NAME.  */
void
workload_key_name (guint32 key, char *name, gsize size)
{
  snprintf (name, size, "plan-%u", key);
}
