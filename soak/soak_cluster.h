#ifndef SOAK_WORLD_H
#define SOAK_WORLD_H

#include "soak/soak_node.h"
#include "soak/soak_relay.h"
#include "soak/soak_server.h"
#include "soak/soak_store.h"

/* Real node processes on loopback, with stand-ins for the store, the servers
   and the callers in this process, relays between them, and trouble drawn from
   a seed.  */

#define SOAK_NODES_MAX 60u

struct soak_host
{
  struct soak_node node;          /* the process */
  struct soak_server server;      /* the server beside it */
  struct soak_relay server_relay; /* from the node to its server */
  struct soak_relay store_relay;  /* from the node to the store */
  struct address callers_address; /* where callers reach the node */
  gint64 server_heal_at;          /* the way to the server heals then */
  gint64 store_heal_at;           /* the way to the store heals then */
};

struct soak_cluster
{
  struct soak_store store;     /* the platform's store */
  gint64 store_heal_at;        /* it heals then */
  struct http http_client;     /* callers and beats */
  struct soak_checker checker; /* what was promised and done */
  GRand *random;               /* from the seed */
  guint host_count;            /* in use */
  struct soak_host hosts[SOAK_NODES_MAX];
  guint last_request_serial;  /* of the last request */
  guint injected_fault_count; /* brought */
};

gboolean soak_cluster_init (struct soak_cluster *world, guint32 seed,
                            guint nodes, const char *program, guint16 port);
void soak_cluster_clear (struct soak_cluster *world);
void soak_cluster_step (struct soak_cluster *world, gint64 now);
void soak_cluster_inject_fault (struct soak_cluster *world, gint64 now);
void soak_cluster_heal (struct soak_cluster *world, gint64 now);
void soak_cluster_send_request (struct soak_cluster *world);

#endif
