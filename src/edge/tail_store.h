#ifndef BAMBOOTALLY_TAIL_STORE_H
#define BAMBOOTALLY_TAIL_STORE_H

#include "types/err.h"
#include <glib.h>

/* The last records that a node has read from the log, kept as encoded frames
   for nodes that read the log from it.  The size is bounded; the oldest frames
   are dropped first.  */

struct tail_store
{
  GQueue *frames;       /* GBytes: framed records, oldest first */
  guint64 first_offset; /* offset of the oldest frame */
  guint64 next_offset;  /* offset after the newest frame */
  gsize total_bytes;    /* bytes of all frames */
};

void tail_store_init (struct tail_store *store);
void tail_store_clear (struct tail_store *store);
void tail_store_add (struct tail_store *store, const guint8 *bytes,
                     gsize length);
enum err tail_store_read (const struct tail_store *store, guint64 from,
                          GByteArray *to);

#endif
