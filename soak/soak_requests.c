#include "soak/soak_caller.h"
#include "soak/soak_cluster.h"
#include "soak/soak_pipeline.h"

/* The requests of the simulated callers.  */

#define KEYED_PERCENT 60 /* share of single requests that carry a key */
#define BREAK_OFF_ONE_IN                                                      \
  4 /* single requests; of these, those that run at most                      \
       once are broken off */
#define AHEAD_ONCE_ONE_IN 8  /* of requests sent ahead may run at most once */
#define AHEAD_LEAVE_ONE_IN 8 /* callers that send ahead leave early */
#define LEAVE_MSEC_MAX 100   /* longest time until then */

/* Return the address of a random node.  */
static struct address
random_node (struct soak_cluster *cluster)
{
  gint32 i
      = g_rand_int_range (cluster->random, 0, (gint32)cluster->host_count);

  return cluster->hosts[i].callers_address;
}

/* Return a random key.  */
static guint32
random_key (struct soak_cluster *cluster)
{
  return (guint32)g_rand_int_range (cluster->random, 0,
                                    (gint32)SHARD_KEY_COUNT);
}

/* Write the id of the next request into ID, of SIZE bytes.  */
static void
next_id (struct soak_cluster *cluster, char *id, gsize size)
{
  g_snprintf (id, size, "r%u", ++cluster->last_request_serial);
}

/* Send a random request to a random node.  */
void
soak_cluster_send_request (struct soak_cluster *cluster)
{
  char id[REQUEST_ID_SIZE];
  struct soak_caller_request parameters
      = { .node_address = random_node (cluster), .request_id = id };

  parameters.at_most_once
      = g_rand_int_range (cluster->random, 0, 100) >= KEYED_PERCENT;
  parameters.shard_key = random_key (cluster);
  next_id (cluster, id, sizeof id);
  parameters.breaks_off
      = parameters.at_most_once
        && cluster->last_request_serial % BREAK_OFF_ONE_IN == 0;
  soak_caller_send (&cluster->checker, &cluster->http_client, &parameters);
}

/* Send random requests at once to a random node, on one connection.  */
void
soak_cluster_send_ahead (struct soak_cluster *cluster)
{
  struct soak_pipeline_request requests[SOAK_PIPELINE_MAX];
  struct address to = random_node (cluster);
  gint32 count
      = g_rand_int_range (cluster->random, 2, (gint32)SOAK_PIPELINE_MAX + 1);
  guint leave_msec = 0;
  gint32 i;

  for (i = 0; i < count; i++)
    {
      requests[i].at_most_once
          = g_rand_int_range (cluster->random, 0, AHEAD_ONCE_ONE_IN) == 0;
      requests[i].shard_key = random_key (cluster);
      next_id (cluster, requests[i].request_id, sizeof requests[i].request_id);
    }
  if (g_rand_int_range (cluster->random, 0, AHEAD_LEAVE_ONE_IN) == 0)
    leave_msec = (guint)g_rand_int_range (cluster->random, 1, LEAVE_MSEC_MAX);
  soak_pipeline_send (&cluster->checker, to, requests, (guint)count,
                      leave_msec);
}
