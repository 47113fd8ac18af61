#include "soak/soak_cluster.h"
#include "soak/soak_config.h"

#include "platform/config.h"
#include "platform/store.h"

/* What happens to a cluster beside its faults: servers become cold, the store
   comes back from an older copy, and the operator evacuates data centres.  */

#define BACK_USEC                                                             \
  ((gint64)400000) /* the store answers again so long after an older copy */
#define COLD_PERCENT 4 /* share of steps in which a server becomes cold */

/* Let a server that runs become cold again now and then.  */
static void
cool_down (struct soak_cluster *cluster, gint64 now)
{
  struct soak_host *host = &cluster->hosts[g_rand_int_range (
      cluster->cold_random, 0, (gint32)cluster->host_count)];

  if (host->server.sharded
      && g_rand_int_range (cluster->cold_random, 0, 100) < COLD_PERCENT)
    soak_cold_begin (&host->server.cold, now);
}

/* Let the store come back from an older copy, and let the operator evacuate a
   data centre, now and then if MAY_BEGIN.  The operator ends an evacuation
   when its time has come, and writes again what the store lost.  */
void
soak_cluster_operate (struct soak_cluster *cluster, gboolean may_begin,
                      gint64 now)
{
  soak_evacuation_step (&cluster->evacuation, &cluster->store, may_begin, now);
  if (may_begin)
    cool_down (cluster, now);
  if (may_begin
      && soak_rollback_draw (&cluster->rollback, &cluster->store,
                             &cluster->evacuation, now))
    {
      cluster->store.mode = SOAK_STORE_UNAVAILABLE;
      cluster->store_heal_at = MAX (cluster->store_heal_at, now + BACK_USEC);
    }
  if (!soak_rollback_rewrites (&cluster->rollback, now))
    return;
  soak_store_put (&cluster->store, STORE_TOPIC_CONFIG, PLATFORM_CONFIG_KEY,
                  SOAK_CONFIG);
  soak_evacuation_rewrite (&cluster->evacuation, &cluster->store, now);
}
