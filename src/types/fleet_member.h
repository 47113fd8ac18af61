#ifndef BAMBOOTALLY_FLEET_MEMBER_H
#define BAMBOOTALLY_FLEET_MEMBER_H

#include "types/address.h"
#include "types/server_instance.h"

/* A node and the backend server beside it, as the node says in the store.  */

enum member_state
{
  MEMBER_READY = 0,    /* its server takes requests */
  MEMBER_DRAINING = 1, /* its server is leaving */
  MEMBER_DOWN = 2      /* its server is not there */
};

struct fleet_member
{
  char name[NAME_SIZE];        /* name of the host, unique in the fleet */
  char zone[NAME_SIZE];        /* data centre that the host stands in */
  char service[NAME_SIZE];     /* service of its server */
  struct address peer_address; /* where other nodes reach it */
  guint64 incarnation;         /* number that the process drew at its start */
  struct server_instance instance; /* the server's */
  guint32 slots;                   /* requests that the server runs at once */
  enum member_state state;         /* whether the server takes requests */
  guint64 store_offset;            /* where the record stands in the store */
};

#endif
