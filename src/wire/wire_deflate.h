#ifndef BAMBOOTALLY_WIRE_DEFLATE_H
#define BAMBOOTALLY_WIRE_DEFLATE_H

#include <glib.h>

/* Compression of long texts between nodes.  */

GByteArray *wire_deflate (const guint8 *bytes, gsize length);
GByteArray *wire_inflate (const guint8 *bytes, gsize length,
                          gsize plain_length);

#endif
