#ifndef SOAK_CLUSTER_H
#define SOAK_CLUSTER_H

#include "soak/soak_node.h"
#include "soak/soak_relay.h"
#include "soak/soak_rollback.h"
#include "soak/soak_server.h"
#include "soak/soak_store.h"

/* Node processes on loopback with everything that surrounds them.  The store,
   the backend servers and the callers are simulated in the process of the
   soak; relays stand between them and the nodes.  Faults are drawn from a
   seed.  */

#define SOAK_NODES_MAX 60u /* limit of the option --nodes */

struct soak_host
{
  struct soak_node node;          /* process of the node */
  struct soak_server server;      /* backend server on the same host */
  struct soak_relay server_relay; /* relay from the node to its server */
  struct soak_relay store_relay;  /* relay from the node to the store */
  struct address callers_address; /* address where the node takes requests */
  gint64 server_heal_at; /* server_relay is normal from then, monotonic usec */
  gint64 store_heal_at;  /* store_relay is normal from then, monotonic usec */
};

struct soak_cluster
{
  enum grant_method method; /* how the servers are told their keys */
  struct soak_store store;  /* simulated store of the platform */
  gint64 store_heal_at;     /* the store is normal from then, monotonic usec */
  struct soak_evacuation evacuation; /* evacuations by the operator */
  struct soak_rollback rollback;     /* older copies of the store */
  GRand *cold_random; /* draws servers that become cold; the faults are drawn
                         by others */
  struct http http_client;     /* HTTP client for requests and heartbeats */
  struct soak_checker checker; /* checks of the guarantees */
  GRand *random;               /* generator for faults and requests */
  guint host_count;            /* length of hosts */
  struct soak_host hosts[SOAK_NODES_MAX]; /* host_count are in use */
  guint last_request_serial;  /* number of the last request, in its id */
  guint injected_fault_count; /* faults injected so far */
};

gboolean soak_cluster_init (struct soak_cluster *cluster, guint32 seed,
                            guint nodes, const char *program, guint16 port,
                            enum grant_method method);
void soak_cluster_clear (struct soak_cluster *cluster);
void soak_cluster_step (struct soak_cluster *cluster, gint64 now);
void soak_cluster_inject_fault (struct soak_cluster *cluster, gint64 now);
void soak_cluster_operate (struct soak_cluster *cluster, gboolean may_begin,
                           gint64 now);
void soak_cluster_heal (struct soak_cluster *cluster, gint64 now);
void soak_cluster_send_request (struct soak_cluster *cluster);
void soak_cluster_send_ahead (struct soak_cluster *cluster);

#endif
