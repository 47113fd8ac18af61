#ifndef BAMBOOTALLY_SNAPSHOT_PROGRESS_H
#define BAMBOOTALLY_SNAPSHOT_PROGRESS_H

#include <glib.h>

/* A snapshot whose chunks are coming by on the log.  Its chunks count when
   they come in order, from one writer, with no other snapshot's between.  */

struct snapshot_progress
{
  guint64 writer;     /* incarnation that writes it, 0 for none */
  guint64 offset;     /* the snapshot holds all records below this */
  guint32 next_chunk; /* chunk to come next */
};

#endif
