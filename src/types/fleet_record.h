#ifndef BAMBOOTALLY_FLEET_RECORD_H
#define BAMBOOTALLY_FLEET_RECORD_H

#include "types/fleet_member.h"
#include "types/fleet_suspect.h"
#include "types/shard_map.h"

/* What the nodes of a fleet keep in the store.  The store keeps the newest
   record of each key, so a record holds all there is to say of its key.  */

#define FLEET_KEY_SIZE 128u           /* bytes in a key, with the zero */
#define FLEET_RECORD_BYTES_MAX 65536u /* bytes in a record */

enum fleet_record_kind
{
  FLEET_MEMBER = 1,   /* a node */
  FLEET_MAP = 2,      /* who holds the keys of a service */
  FLEET_SUSPECT = 3,  /* a request that crashes servers */
  FLEET_TOMBSTONE = 4 /* the key has been dropped */
};

struct fleet_record
{
  enum fleet_record_kind kind;
  char key[FLEET_KEY_SIZE]; /* see fleet_record_key */
  union
  {
    struct fleet_member member;
    struct shard_map map;
    struct fleet_suspect suspect;
  } u;
};

/* A record where it stands.  */
struct fleet_entry
{
  guint64 offset; /* in the topic */
  struct fleet_record record;
};

void fleet_record_set_key (struct fleet_record *record);
void fleet_record_clear (struct fleet_record *record);

#endif
