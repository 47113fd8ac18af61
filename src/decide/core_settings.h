#ifndef BAMBOOTALLY_CORE_SETTINGS_H
#define BAMBOOTALLY_CORE_SETTINGS_H

#include "types/record.h"

#define SEED_PEERS_MAX 8u /* peers named in the settings */

/* What a node knows of itself when it starts.  */

struct core_settings
{
  guint64 incarnation;          /* drawn at random at each start */
  char host[NAME_SIZE];         /* name of the host */
  char zone[NAME_SIZE];         /* place it stands in */
  char region[NAME_SIZE];       /* region of that place */
  char service[NAME_SIZE];      /* service of the backend server beside it */
  struct address front_address; /* where callers reach it */
  struct address peer_address;  /* where nodes reach it */
  guint32 default_slots; /* slots of the server, until it says otherwise */
  struct address seed_peers[SEED_PEERS_MAX]; /* peers to start from */
  guint32 seed_peer_count;                   /* how many */
  guint64 random_seed;                       /* for random choices */
  guint32 relays_per_zone;  /* nodes a zone that read the log, 0 for all */
  guint32 snapshot_records; /* records between snapshots, 0 for none */
  guint32 snapshot_interval_sec; /* longest time between snapshots, seconds */
};

#endif
