#include "soak/soak_rollback.h"

#include "types/limits.h"

#define BEGIN_PERCENT 1         /* share of steps with an older copy */
#define OLDEST_MSEC 6000        /* greatest age of a copy */
#define REWRITE_MSEC_MIN 300    /* the operator writes again after this */
#define REWRITE_MSEC_MAX 1500   /* and before this */
#define SEED_OFFSET 0x5eed0000u /* so that evacuations are drawn by others */

/* Initialise ROLLBACK; the copies are drawn from SEED.  */
void
soak_rollback_init (struct soak_rollback *rollback, guint32 seed)
{
  *rollback = (struct soak_rollback){ 0 };
  rollback->random = g_rand_new_with_seed (seed + SEED_OFFSET);
}

/* Release what ROLLBACK holds.  */
void
soak_rollback_clear (struct soak_rollback *rollback)
{
  g_rand_free (rollback->random);
}

/* Let STORE come back from an older copy now and then.  Return whether it
   did.  */
gboolean
soak_rollback_draw (struct soak_rollback *rollback, struct soak_store *store,
                    struct soak_evacuation *evacuation, gint64 now)
{
  gint64 copied_at;

  if (rollback->rewrite_at != 0
      || g_rand_int_range (rollback->random, 0, 100) >= BEGIN_PERCENT)
    return FALSE;
  copied_at = now
              - (gint64)g_rand_int_range (rollback->random, 100, OLDEST_MSEC)
                    * USEC_PER_MSEC;
  rollback->rewrite_at
      = now
        + (gint64)g_rand_int_range (rollback->random, REWRITE_MSEC_MIN,
                                    REWRITE_MSEC_MAX)
              * USEC_PER_MSEC;
  rollback->count++;
  soak_store_roll_back (store, copied_at);
  soak_evacuation_on_rollback (evacuation, copied_at, rollback->rewrite_at);
  return TRUE;
}

/* Return whether the operator writes again now what was lost.  */
gboolean
soak_rollback_rewrites (struct soak_rollback *rollback, gint64 now)
{
  if (rollback->rewrite_at == 0 || now < rollback->rewrite_at)
    return FALSE;
  rollback->rewrite_at = 0;
  return TRUE;
}
