#include "edge/http_unparsed.h"

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
