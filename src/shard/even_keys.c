#include "shard/even_keys.h"

#define MILLI ((gint64)1000)

/* Time constant of the means.  */
#define MEAN_USEC ((gint64)4000000)

/* An owner hands keys over if its demand is at least this percentage of the
   mean of all owners, and this much above it.  At 115 % the replay of
   test_keys_even moves three times as many ranges once keys have settled, for
   the same evenness: maps get more shards with each, and beyond a limit keys
   are no longer moved.  */
#define EXCESS_PERCENT 125
#define EXCESS_PERMILLE 30

/* Such an owner goes down to this percentage of the mean.  A move of just the
   excess is often below the least rate that is worth a move.  */
#define TARGET_PERCENT 80

/* Return MEAN after ELAPSED microseconds with VALUE, if the mean is to follow
   with the time constant CONSTANT_USEC.  */
static gint64
approach (gint64 mean, gint64 value, gint64 elapsed, gint64 constant_usec)
{
  if (mean == 0 || elapsed + constant_usec == 0)
    return value;
  return mean + (value - mean) * elapsed / (elapsed + constant_usec);
}

/* Update the means with RATE requests per second for the own keys and a mean
   run time of RUN_USEC at NOW, 0 if that is not known.  At first they follow
   the values sooner.  */
void
even_keys_update (struct even_keys *keys, guint32 rate, gint64 run_usec,
                  gint64 now)
{
  gint64 constant_usec;
  gint64 elapsed;

  if (keys->started_at == 0)
    keys->started_at = keys->updated_at = now;
  constant_usec = MIN (MEAN_USEC, keys->updated_at - keys->started_at);
  elapsed = MAX (0, now - keys->updated_at);
  keys->rate_milli
      = approach (keys->rate_milli, rate * MILLI, elapsed, constant_usec);
  if (run_usec > 0)
    keys->run_usec
        = approach (keys->run_usec, run_usec, elapsed, constant_usec);
  keys->updated_at = now;
}

/* Record that keys with RATE requests per second are handed over.  */
void
even_keys_moved (struct even_keys *keys, guint32 rate)
{
  keys->rate_milli = MAX (0, keys->rate_milli - rate * MILLI);
}

/* Return the mean rate of the requests for the own keys, per second.  */
guint32
even_keys_rate (const struct even_keys *keys)
{
  return (guint32)(keys->rate_milli / MILLI);
}

/* Return whether an owner with DEMAND_PERMILLE has so much more to do than the
   mean of all, which is MEAN_PERMILLE, that a move is worth its cost.  */
gboolean
even_keys_has_excess (gint64 demand_permille, gint64 mean_permille)
{
  return demand_permille * 100 >= mean_permille * EXCESS_PERCENT
         && demand_permille >= mean_permille + EXCESS_PERMILLE;
}

/* Return how many requests per second are to move from an owner with
   DEMAND_PERMILLE to RECEIVER: as many as leave neither on the other side of
   the mean, which is MEAN_PERMILLE.  One request per second is a demand of
   DEMAND_PER_RATE millionths at the owner.  */
guint32
even_keys_rate_to_move (gint64 demand_permille, gint64 mean_permille,
                        gint64 demand_per_rate,
                        const struct even_keys_receiver *receiver)
{
  gint64 excess = demand_permille - mean_permille * TARGET_PERCENT / 100;
  gint64 room = mean_permille - receiver->demand_permille;

  if (excess <= 0 || room <= 0)
    return 0;
  return (guint32)MIN (excess * MILLI / MAX (1, demand_per_rate),
                       room * MILLI / MAX (1, receiver->demand_per_rate));
}
