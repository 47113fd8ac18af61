#ifndef BAMBOOTALLY_CORE_SETTINGS_H
#define BAMBOOTALLY_CORE_SETTINGS_H

#include "types/record.h"

#define SEEDS_MAX 8u /* peers named in the settings */

/* What a node knows of itself when it starts.  */

struct core_settings
{
  guint64 incarnation;     /* drawn at random at each start */
  char host[NAME_SIZE];    /* name of the host */
  char zone[NAME_SIZE];    /* place it stands in */
  char region[NAME_SIZE];  /* region of that place */
  char service[NAME_SIZE]; /* service of the backend server beside it */
  struct address front;    /* where callers reach it */
  struct address peer;     /* where nodes reach it */
  guint32 slots;           /* slots of the server, until it says otherwise */
  struct address seeds[SEEDS_MAX]; /* peers to start from */
  guint32 seed_count;              /* how many */
  guint64 seed;                    /* for random choices */
  guint32 relays;           /* nodes a zone that read the log, 0 for all */
  guint32 snapshot_records; /* records between snapshots, 0 for none */
  guint32 snapshot_sec;     /* longest time between snapshots, seconds */
};

#endif
