#ifndef BAMBOOTALLY_HTTP_FRAMING_H
#define BAMBOOTALLY_HTTP_FRAMING_H

#include "edge/chunked.h"
#include "types/err.h"

#include <libsoup/soup.h>

/* How the end of a body is found (RFC 9112, section 6.3), and a reader of the
   body that keeps to it.  */

enum http_framing_kind
{
  HTTP_NO_BODY,   /* the message has no body */
  HTTP_BY_LENGTH, /* after as many bytes as Content-Length says */
  HTTP_BY_CHUNKS, /* after the last chunk */
  HTTP_BY_CLOSE   /* responses: when the server closes the connection */
};

struct http_framing
{
  enum http_framing_kind kind;
  union
  {
    gint64 remaining_bytes; /* HTTP_BY_LENGTH: bytes not read yet */
    struct chunked chunked; /* HTTP_BY_CHUNKS: decoder of the body */
  } u;
};

enum err http_framing_of_request (SoupMessageHeaders *headers,
                                  gboolean is_http_1_0,
                                  struct http_framing *framing);
enum err http_framing_of_response (SoupMessageHeaders *headers,
                                   struct http_framing *framing);
gint64 http_framing_length (const struct http_framing *framing);
enum err http_framing_read (struct http_framing *framing, const guint8 *bytes,
                            gsize count, struct chunked_part *part);

#endif
