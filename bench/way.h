#ifndef BENCH_WAY_H
#define BENCH_WAY_H

#include "bench/rush.h"
#include "standins/fleet.h"

/* The ways to place keys that are compared, and their score.  */

enum way
{
  WAY_HASH,       /* plain hashing: hash modulo members */
  WAY_RENDEZVOUS, /* rendezvous hashing, no moves */
  WAY_PLACED,     /* slices placed by plans */
  WAY_COUNT
};

const char *way_name (enum way way);
void way_owners (const struct fleet *fleet, enum way way,
                 const struct rush *rush, guint64 *owners);
gdouble way_imbalance (const struct fleet *fleet, const struct rush *rush,
                       const guint64 *owners);
guint32 way_moved (const struct rush *rush, const guint64 *before,
                   const guint64 *after);

#endif
