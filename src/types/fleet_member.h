#ifndef BAMBOOTALLY_FLEET_MEMBER_H
#define BAMBOOTALLY_FLEET_MEMBER_H

#include "types/address.h"
#include "types/server_instance.h"

/* A node and the backend server beside it, as the node describes them in the
   store.  */

enum member_state
{
  MEMBER_READY = 0,    /* the server accepts requests */
  MEMBER_DRAINING = 1, /* the server is shutting down */
  MEMBER_DOWN = 2      /* the server is not running */
};

struct fleet_member
{
  char name[NAME_SIZE];        /* name of the host, unique in the fleet */
  char zone[NAME_SIZE];        /* data centre of the host */
  char service[NAME_SIZE];     /* service of the backend server */
  struct address peer_address; /* address for other nodes */
  guint64 incarnation; /* random number that identifies the node's process */
  struct server_instance instance; /* instance of the backend server */
  guint32 slots;                   /* requests that the server runs at once */
  enum member_state state;         /* whether the server accepts requests */
  guint64 store_offset;            /* offset of this record in the store */
};

#endif
