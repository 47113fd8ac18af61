#ifndef SOAK_ROLLBACK_H
#define SOAK_ROLLBACK_H

#include "soak/soak_evacuation.h"
#include "soak/soak_store.h"

/* A store that comes back from a copy some seconds old now and then, and the
   operator, who writes again what was lost.  */

struct soak_rollback
{
  GRand *random;     /* draws the copies; the faults are drawn by others */
  gint64 rewrite_at; /* the operator writes again then, monotonic usec; 0: no
                        need */
  guint count;       /* copies so far */
};

void soak_rollback_init (struct soak_rollback *rollback, guint32 seed);
void soak_rollback_clear (struct soak_rollback *rollback);
gboolean soak_rollback_draw (struct soak_rollback *rollback,
                             struct soak_store *store,
                             struct soak_evacuation *evacuation, gint64 now);
gboolean soak_rollback_rewrites (struct soak_rollback *rollback, gint64 now);

#endif
