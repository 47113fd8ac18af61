#ifndef SOAK_STORE_H
#define SOAK_STORE_H

#include "types/address.h"

#include <libsoup/soup.h>

/* A stand-in for the platform's store: keyed topics of one partition, with
   conditional appends, reads that wait, and the newest record of each key.  */

/* How the store treats calls.  */
enum soak_store_mode
{
  SOAK_STORE_NORMAL,       /* it answers */
  SOAK_STORE_UNAVAILABLE,  /* it answers 503 and does nothing */
  SOAK_STORE_UNRESPONSIVE, /* it does nothing and does not answer */
  SOAK_STORE_LOSE_ANSWERS  /* it appends, and answers no append */
};

struct soak_store
{
  SoupServer *http_server;   /* where it listens */
  enum soak_store_mode mode; /* how it treats calls */
  GHashTable *topics;        /* name to GPtrArray of GBytes: keyed records */
  GPtrArray *waiting_reads;  /* struct soak_waiting_read, reads that wait */
};

gboolean soak_store_init (struct soak_store *store, struct address at);
void soak_store_clear (struct soak_store *store);
void soak_store_put (struct soak_store *store, const char *topic,
                     const char *key, const char *value);

#endif
