#ifndef BAMBOOTALLY_FLEET_RECORD_H
#define BAMBOOTALLY_FLEET_RECORD_H

#include "types/fleet_member.h"
#include "types/fleet_suspect.h"
#include "types/shard_map.h"

/* Records that the nodes of a fleet keep in the store.  The store retains only
   the newest record of each key, so each record is the complete state of its
   key.  */

#define FLEET_KEY_SIZE 128u           /* bytes in a key, with the final zero */
#define FLEET_RECORD_BYTES_MAX 65536u /* bytes in an encoded record */

enum fleet_record_kind
{
  FLEET_MEMBER = 1,    /* a node and its backend server */
  FLEET_MAP = 2,       /* the owners of a service's keys */
  FLEET_SUSPECT = 3,   /* a request digest that crashed servers */
  FLEET_TOMBSTONE = 4, /* the key was deleted */
  FLEET_MAP_PATCH = 5  /* changed part of a map; sent between nodes, never
                          stored */
};

struct fleet_record
{
  enum fleet_record_kind kind;
  char key[FLEET_KEY_SIZE]; /* key in the store; see fleet_record_set_key */
  union
  {
    struct fleet_member member;
    struct shard_map map;
    struct fleet_suspect suspect;
  } u;
};

/* A record of the store with its offset.  */
struct fleet_entry
{
  guint64 offset; /* offset in the topic */
  struct fleet_record record;
};

void fleet_record_set_key (struct fleet_record *record);
void fleet_record_clear (struct fleet_record *record);

#endif
