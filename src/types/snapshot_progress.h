#ifndef BAMBOOTALLY_SNAPSHOT_PROGRESS_H
#define BAMBOOTALLY_SNAPSHOT_PROGRESS_H

#include <glib.h>

/* Progress of a snapshot whose chunks are being read from the log.  The chunks
   must come in order and from one writer, without chunks of other snapshots
   between.  */

struct snapshot_progress
{
  guint64 writer;     /* incarnation of the writer, 0 for none */
  guint64 offset;     /* the snapshot holds all records below this offset */
  guint32 next_chunk; /* index of the chunk expected next */
};

#endif
