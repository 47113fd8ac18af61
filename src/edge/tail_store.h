#ifndef BAMBOOTALLY_TAIL_STORE_H
#define BAMBOOTALLY_TAIL_STORE_H

#include "types/err.h"
#include <glib.h>

/* The last records that a node has read, as bytes, for those that read from
   it.  Bounded: the oldest go first.  */

struct tail_store
{
  GQueue *frames;       /* GBytes: framed records in order */
  guint64 first_offset; /* offset of the first one */
  guint64 next_offset;  /* offset after the last one */
  gsize total_bytes;    /* bytes in all of them */
};

void tail_store_init (struct tail_store *store);
void tail_store_clear (struct tail_store *store);
void tail_store_add (struct tail_store *store, const guint8 *bytes,
                     gsize length);
enum err tail_store_read (const struct tail_store *store, guint64 from,
                          GByteArray *to);

#endif
