#ifndef BENCH_WAY_H
#define BENCH_WAY_H

#include "bench/workload.h"
#include "standins/fleet.h"

/* The ways to place keys that are compared, and their score.  */

enum policy
{
  POLICY_HASH,       /* plain hashing: hash modulo members */
  POLICY_RENDEZVOUS, /* rendezvous hashing, no moves */
  POLICY_PLANNED,    /* slices placed by plans */
  POLICY_COUNT
};

const char *policy_name (enum policy way);
void policy_owners (const struct fleet *fleet, enum policy way,
                    const struct workload *rush, guint64 *owners);
gdouble policy_imbalance (const struct fleet *fleet,
                          const struct workload *rush, const guint64 *owners);
guint32 policy_keys_moved (const struct workload *rush, const guint64 *before,
                           const guint64 *after);

#endif
