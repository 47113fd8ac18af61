#ifndef BAMBOOTALLY_VIEW_PART_H
#define BAMBOOTALLY_VIEW_PART_H

#include <glib.h>

/* A snapshot whose chunks are coming by on the log.  Its chunks count when
   they come in order, from one writer, with no other snapshot's between.  */

struct view_part
{
  guint64 writer; /* incarnation that writes it, 0 for none */
  guint64 offset; /* the snapshot holds all records below this */
  guint32 next;   /* chunk to come next */
};

#endif
