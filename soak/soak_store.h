#ifndef SOAK_STORE_H
#define SOAK_STORE_H

#include "soak/soak_topics.h"
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
  struct soak_topics topics; /* the records */
  guint64 era; /* how often the store came back from an older copy */
  GPtrArray *waiting_reads; /* struct soak_waiting_read */
};

gboolean soak_store_init (struct soak_store *store,
                          struct address listen_address);
void soak_store_clear (struct soak_store *store);
void soak_store_put (struct soak_store *store, const char *topic,
                     const char *key, const char *value);
void soak_store_roll_back (struct soak_store *store, gint64 copied_at);

#endif
