#ifndef BAMBOOTALLY_LEASE_PIECE_H
#define BAMBOOTALLY_LEASE_PIECE_H

#include "types/limits.h"

#include <glib.h>

/* A range of keys that the shard map assigns to the local backend server, and
   what is to be done with it.  */

struct lease_piece
{
  guint32 first;              /* lowest key of the range */
  guint32 last;               /* highest key of the range */
  guint64 fence;              /* fence in the shard map */
  const char *handover_token; /* token of the previous holder, or empty */
  gboolean release;           /* take the range back; otherwise grant it */
};

#endif
