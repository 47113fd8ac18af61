#ifndef BAMBOOTALLY_CHUNKED_H
#define BAMBOOTALLY_CHUNKED_H

#include "types/err.h"

#include <glib.h>

/* Decoder of the chunked transfer coding (RFC 9112, section 7.1), for
   requests and responses.  The body is complete only at the empty line behind
   the last chunk and its trailer.  */

enum chunked_state
{
  CHUNKED_SIZE,     /* the size line of a chunk is next */
  CHUNKED_DATA,     /* data of a chunk */
  CHUNKED_DATA_END, /* the line end behind the data */
  CHUNKED_TRAILER,  /* a trailer field, or the empty line at the end */
  CHUNKED_COMPLETE  /* the body has ended */
};

struct chunked
{
  enum chunked_state state;
  gint64 remaining_bytes; /* data of the chunk not decoded yet */
  gsize trailer_bytes;    /* bytes in the trailer so far */
};

/* What one call has decoded.  */
struct chunked_part
{
  const guint8 *data; /* part of the body, within the bytes given */
  gsize data_count;   /* its length, 0: none */
  gsize used;         /* bytes that were decoded */
};

void chunked_init (struct chunked *chunked);
enum err chunked_read (struct chunked *chunked, const guint8 *bytes,
                       gsize count, struct chunked_part *part);

#endif
