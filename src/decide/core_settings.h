#ifndef BAMBOOTALLY_CORE_SETTINGS_H
#define BAMBOOTALLY_CORE_SETTINGS_H

#include "types/record.h"

#define SEED_PEERS_MAX 8u /* most seed peers in the settings */

/* Identity and settings of a node, fixed while the process runs.  */

struct core_settings
{
  guint64 incarnation;     /* drawn at random at each start of the process */
  char host[NAME_SIZE];    /* name of this host */
  char zone[NAME_SIZE];    /* zone of this host */
  char region[NAME_SIZE];  /* region of the zone */
  char service[NAME_SIZE]; /* service of the backend server */
  struct address front_address; /* where callers reach this node */
  struct address peer_address;  /* where other nodes reach this node */
  /* slots assumed until the backend server announces its own */
  guint32 default_slots;
  /* peers to fetch a first snapshot from */
  struct address seed_peers[SEED_PEERS_MAX];
  guint32 seed_peer_count;  /* seed peers that are set */
  guint64 random_seed;      /* seed of random choices */
  guint32 relays_per_zone;  /* nodes per zone that read the log, 0 for all */
  guint32 snapshot_records; /* records between snapshots, 0 for none */
  /* longest time between two snapshots, seconds */
  guint32 snapshot_interval_sec;
};

#endif
