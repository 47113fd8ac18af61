#ifndef BAMBOOTALLY_VIEW_PART_H
#define BAMBOOTALLY_VIEW_PART_H

#include <glib.h>

/* Progress of a snapshot whose chunks are being read from the log.  The chunks
   must come in order and from one writer, without chunks of other snapshots
   between.  */

struct view_part
{
  guint64 writer; /* incarnation of the writer, 0 for none */
  guint64 offset; /* the snapshot holds all records below this offset */
  guint32 next;   /* index of the chunk expected next */
};

#endif
