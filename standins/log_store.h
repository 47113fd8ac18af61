#ifndef STANDIN_LOG_STORE_H
#define STANDIN_LOG_STORE_H

#include <glib.h>

/* The records of the log stand-in: offsets from 1, limited retention.  */

struct log_store
{
  GPtrArray *records;   /* GBytes, from offset first on */
  guint64 first_offset; /* first offset retained */
  guint32 retained_max; /* records retained, 0 for all */
};

void log_store_init (struct log_store *store);
void log_store_clear (struct log_store *store);
guint64 log_store_append (struct log_store *store, GBytes *record);
guint64 log_store_end (const struct log_store *store);
GByteArray *log_store_read (const struct log_store *store, guint64 from,
                            guint32 max);

#endif
