#ifndef SOAK_EVACUATION_H
#define SOAK_EVACUATION_H

#include "soak/soak_checker.h"
#include "soak/soak_store.h"

/* An operator who evacuates one data centre after the other, and the check
   that no server there gets a request once the bound has passed.  */

#define SOAK_ZONES 3u /* data centres; host I is in I modulo this number */

struct soak_evacuation
{
  GRand *random;   /* draws the evacuations; the faults are drawn by others,
                      and are the same with and without evacuations */
  guint zone;      /* data centre that is evacuated, if any is */
  gint64 acked_at; /* when the store acknowledged that, monotonic usec; 0:
                      none is evacuated */
  gint64 ends_at;  /* when that ends, monotonic usec */
  gint64 unread_until; /* the store answered nobody at some time before this,
                          monotonic usec */
  guint count;         /* evacuations so far */
};

void soak_evacuation_init (struct soak_evacuation *evacuation, guint32 seed);
void soak_evacuation_clear (struct soak_evacuation *evacuation);
void soak_evacuation_step (struct soak_evacuation *evacuation,
                           struct soak_store *store, gboolean may_begin,
                           gint64 now);
void soak_evacuation_end (struct soak_evacuation *evacuation,
                          struct soak_store *store);
void soak_evacuation_on_rollback (struct soak_evacuation *evacuation,
                                  gint64 copied_at, gint64 rewrite_at);
void soak_evacuation_rewrite (struct soak_evacuation *evacuation,
                              struct soak_store *store, gint64 now);
void soak_evacuation_on_arrival (const struct soak_evacuation *evacuation,
                                 struct soak_checker *checker, guint zone,
                                 gint64 excused_until, const char *id,
                                 gint64 now);

#endif
