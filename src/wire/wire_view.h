#ifndef BAMBOOTALLY_WIRE_VIEW_H
#define BAMBOOTALLY_WIRE_VIEW_H

#include "types/err.h"
#include "types/view.h"

/* A whole view as bytes, for snapshots.  Nodes are named by incarnation and
   stand in order of their joins, so that two views that are equal give the
   same bytes whatever their handles are.  */

#define VIEW_BYTES_MAX 67108864u /* bytes in an encoded view */

GByteArray *view_encode (const struct view *view);
enum err view_decode (struct view *view, const guint8 *bytes, gsize length);
guint64 view_digest (const struct view *view);

#endif
