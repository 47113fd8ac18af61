#include "edge/http_line.h"

#include <string.h>

/* Find the end of the line that begins at BYTES, and set LENGTH to its bytes
   without the line end.  ERR_UNAVAILABLE: more bytes are needed;
   ERR_MALFORMED: the line holds a NUL, or a CR or LF alone; ERR_TOO_LARGE: it
   is longer than MAX bytes.  */
enum err
http_line_find (const guint8 *bytes, gsize count, gsize max, gsize *length)
{
  const guint8 *end = count > 0 ? memchr (bytes, '\n', count) : NULL;
  gsize seen = end != NULL ? (gsize)(end - bytes) : count;
  const guint8 *cr = seen > 0 ? memchr (bytes, '\r', seen) : NULL;

  if ((cr != NULL && (gsize)(cr - bytes) + 1 < seen)
      || (end != NULL && cr == NULL)
      || (seen > 0 && memchr (bytes, '\0', seen) != NULL))
    return ERR_MALFORMED;
  if (seen > max)
    return ERR_TOO_LARGE;
  if (end == NULL)
    return ERR_UNAVAILABLE;
  *length = seen - 1;
  return ERR_NONE;
}
