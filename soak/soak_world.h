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

struct soak_place
{
  struct soak_node node;       /* the process */
  struct soak_server server;   /* the server beside it */
  struct soak_relay to_server; /* from the node to its server */
  struct soak_relay to_store;  /* from the node to the store */
  struct address callers;      /* where callers reach the node */
  gint64 server_well_at;       /* the way to the server heals then */
  gint64 store_well_at;        /* the way to the store heals then */
};

struct soak_world
{
  struct soak_store store; /* the platform's store */
  gint64 store_well_at;    /* it heals then */
  struct http http;        /* callers and beats */
  struct soak_book book;   /* what was promised and done */
  GRand *random;           /* from the seed */
  guint places;            /* in use */
  struct soak_place place[SOAK_NODES_MAX];
  guint serial;          /* of the last request */
  guint injected_faults; /* brought */
};

gboolean soak_world_init (struct soak_world *world, guint32 seed, guint nodes,
                          const char *program, guint16 port);
void soak_world_clear (struct soak_world *world);
void soak_world_step (struct soak_world *world, gint64 now);
void soak_world_trouble (struct soak_world *world, gint64 now);
void soak_world_heal (struct soak_world *world, gint64 now);
void soak_world_ask (struct soak_world *world);

#endif
