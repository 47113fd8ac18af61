#ifndef BENCH_POLICY_H
#define BENCH_POLICY_H

#include "bench/workload.h"
#include "standins/fleet.h"

/* Placement policies, and the measures by which they are compared.  */

enum policy
{
  POLICY_HASH,       /* hash modulo the number of live members */
  POLICY_RENDEZVOUS, /* rendezvous hashing, without plans */
  POLICY_PLANNED,    /* slices with the owners set by plans */
  POLICY_COUNT
};

const char *policy_name (enum policy policy);
void policy_owners (const struct fleet *fleet, enum policy policy,
                    const struct workload *workload, guint64 *owners);
gdouble policy_imbalance (const struct fleet *fleet,
                          const struct workload *workload,
                          const guint64 *owners);
guint32 policy_keys_moved (const struct workload *workload,
                           const guint64 *before, const guint64 *after);

#endif
