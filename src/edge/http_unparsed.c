#include "edge/http_unparsed.h"

#include <string.h>

/* Return the first byte that was received and not parsed.  */
const guint8 *
http_unparsed (const struct http_call *call)
{
  return call->conn->receive_buffer->data + call->parsed_bytes;
}

/* Return the number of bytes that were received and not parsed.  */
gsize
http_unparsed_count (const struct http_call *call)
{
  return call->conn->receive_buffer->len - call->parsed_bytes;
}

/* Return the position of NEEDLE in the bytes that were received and not
   parsed, or -1.  */
gssize
http_find_unparsed (const struct http_call *call, const char *needle)
{
  gsize count = http_unparsed_count (call);
  const guint8 *at = count > 0 ? memmem (http_unparsed (call), count, needle,
                                         strlen (needle))
                               : NULL;

  return at != NULL ? at - http_unparsed (call) : -1;
}
