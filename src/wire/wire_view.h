#ifndef BAMBOOTALLY_WIRE_VIEW_H
#define BAMBOOTALLY_WIRE_VIEW_H

#include "types/err.h"
#include "types/view.h"

/* Encoding of a complete view in XDR, for snapshots.  Nodes are identified by
   incarnation and ordered by their joins, so that equal views have the same
   encoding, even if their handles differ.  */

#define VIEW_BYTES_MAX 67108864u /* bytes in an encoded view */

GByteArray *view_encode (const struct view *view);
enum err view_decode (struct view *view, const guint8 *bytes, gsize length);
guint64 view_digest (const struct view *view);

#endif
