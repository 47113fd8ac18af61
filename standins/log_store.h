#ifndef STANDIN_LOG_STORE_H
#define STANDIN_LOG_STORE_H

#include <glib.h>

/* The records of the log service stand-in.  Offsets begin at 1; the oldest
   records are dropped beyond a limit.  */

struct log_store
{
  GPtrArray *records;   /* GBytes: the records from first_offset on */
  guint64 first_offset; /* offset of the oldest record retained */
  guint32 retained_max; /* maximum number of records retained, 0 for all */
};

void log_store_init (struct log_store *store);
void log_store_clear (struct log_store *store);
guint64 log_store_append (struct log_store *store, GBytes *record);
guint64 log_store_end (const struct log_store *store);
GByteArray *log_store_read (const struct log_store *store, guint64 from,
                            guint32 max);

#endif
