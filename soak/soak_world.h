#ifndef SOAK_WORLD_H
#define SOAK_WORLD_H

#include "soak/soak_node.h"
#include "soak/soak_relay.h"
#include "soak/soak_server.h"
#include "soak/soak_store.h"

/* Node processes on loopback with everything that surrounds them.  The store,
   the backend servers and the callers are simulated in the process of the
   soak; relays stand between them and the nodes.  Faults are drawn from a
   seed.  */

#define SOAK_NODES_MAX 60u

struct soak_place
{
  struct soak_node node;       /* process of the node */
  struct soak_server server;   /* backend server on the same host */
  struct soak_relay to_server; /* relay from the node to its server */
  struct soak_relay to_store;  /* relay from the node to the store */
  struct address callers;      /* address where the node takes requests */
  gint64 server_well_at; /* time when server_relay becomes normal, monotonic
                            usec */
  gint64
      store_well_at; /* time when store_relay becomes normal, monotonic usec */
};

struct soak_world
{
  struct soak_store store; /* simulated store of the platform */
  gint64
      store_well_at; /* time when the store becomes normal, monotonic usec */
  struct http http;  /* HTTP client for requests and heartbeats */
  struct soak_book book; /* checks of the guarantees */
  GRand *random;         /* generator for faults and requests */
  guint places;          /* hosts in use */
  struct soak_place place[SOAK_NODES_MAX];
  guint serial;          /* number of the last request, in its id */
  guint injected_faults; /* faults injected so far */
};

gboolean soak_world_init (struct soak_world *cluster, guint32 seed,
                          guint nodes, const char *program, guint16 port);
void soak_world_clear (struct soak_world *cluster);
void soak_world_step (struct soak_world *cluster, gint64 now);
void soak_world_trouble (struct soak_world *cluster, gint64 now);
void soak_world_heal (struct soak_world *cluster, gint64 now);
void soak_world_ask (struct soak_world *cluster);

#endif
