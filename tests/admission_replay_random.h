#ifndef TESTS_ADMISSION_REPLAY_RANDOM_H
#define TESTS_ADMISSION_REPLAY_RANDOM_H

#include "tests/admission_replay_types.h"

#include <math.h>

/* The random numbers of tests/admission_replay.h.  */

/* Return a sample of the exponential distribution with mean MEAN.  */
static inline double
replay_exponential (struct replay *replay, double mean)
{
  return -mean * log (1 - g_rand_double (replay->random));
}

/* Return a sample of the log-normal distribution with mean MEAN and the
   standard deviation SIGMA of the logarithm.  */
static inline double
replay_run (struct replay *replay, double mean, double sigma)
{
  double normal = -6;
  guint i;

  for (i = 0; i < 12; i++)
    normal += g_rand_double (replay->random);
  return mean * exp (sigma * normal - sigma * sigma / 2);
}

/* Draw the priority of a request of LOAD.  */
static inline guint
replay_priority (struct replay *replay, const struct replay_load *load)
{
  double draw = g_rand_double (replay->random);

  if (draw < load->share[0])
    return 0;
  return draw < load->share[0] + load->share[1] ? 1 : 2;
}

#endif
