#ifndef SOAK_STORE_H
#define SOAK_STORE_H

#include "types/address.h"

#include <libsoup/soup.h>

/* A simulation of the platform's store: keyed topics of one partition, with
   conditional appends, reads that wait for records, and reads of the newest
   record of each key.  */

/* How the store treats calls.  */
enum soak_store_mode
{
  SOAK_STORE_NORMAL,       /* answer all calls */
  SOAK_STORE_UNAVAILABLE,  /* answer all calls with 503 and do nothing */
  SOAK_STORE_UNRESPONSIVE, /* do nothing and never answer */
  SOAK_STORE_LOSE_ANSWERS  /* append the records and never answer appends */
};

struct soak_store
{
  SoupServer *http_server;   /* HTTP server of the store */
  enum soak_store_mode mode; /* treatment of calls */
  GHashTable *topics;        /* name to GPtrArray of GBytes: keyed records */
  GPtrArray *waiting_reads;  /* struct soak_waiting_read */
};

gboolean soak_store_init (struct soak_store *store,
                          struct address listen_address);
void soak_store_clear (struct soak_store *store);
void soak_store_put (struct soak_store *store, const char *topic,
                     const char *key, const char *value);

#endif
