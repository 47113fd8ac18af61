#ifndef BAMBOOTALLY_FLEET_RECORD_H
#define BAMBOOTALLY_FLEET_RECORD_H

#include "types/fleet_member.h"
#include "types/fleet_suspect.h"
#include "types/shard_map.h"

/* Records that the nodes of a fleet keep in the store.  The store retains only
   the newest record of each key, so each record is the complete state of its
   key.  */

/* Bytes in a key, with the final zero: the store gives the length of a key in
   one byte.  */
#define FLEET_KEY_SIZE 256u
/* Bytes in an encoded record: what the store takes in one record, less the key
   and its length.  */
#define FLEET_RECORD_BYTES_MAX (RECORD_BYTES_MAX - FLEET_KEY_SIZE)

#define FLEET_MEMBER_PREFIX "member/"
#define FLEET_MAP_PREFIX "map/"
#define FLEET_SUSPECT_PREFIX "suspect/"

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

const char *fleet_key_name (const char *name, char buffer[FLEET_KEY_SIZE]);
void fleet_record_set_key (struct fleet_record *record);
guint64 fleet_suspect_digest (const char *key);
void fleet_record_clear (struct fleet_record *record);

#endif
