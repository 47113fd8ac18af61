#ifndef BAMBOOTALLY_HTTP_HEAD_H
#define BAMBOOTALLY_HTTP_HEAD_H

#include "types/err.h"

#include <libsoup/soup.h>

/* Heads of HTTP/1.1 messages.  They are checked against RFC 9112 before
   libsoup parses them: it skips lines that are no fields, and accepts line
   ends and spaces at which other readers see something else.  */

#define HEAD_BYTES_MAX 65536u /* bytes in a head */

/* Head of a request.  */
struct http_request_head
{
  char *method;                /* GET, POST, ... */
  char *target;                /* path and query, or an asterisk */
  SoupMessageHeaders *headers; /* all fields */
  gboolean is_http_1_0;        /* sent by an HTTP/1.0 client */
};

gboolean http_head_is_field (const guint8 *line, gsize length);
enum err http_head_find_end (const guint8 *bytes, gsize count, gsize *length);
enum err http_head_parse_request (const guint8 *bytes, gsize length,
                                  struct http_request_head *head);
enum err http_head_parse_response (const guint8 *bytes, gsize length,
                                   SoupMessageHeaders *headers,
                                   SoupHTTPVersion *version, guint *status);
void http_head_clear (struct http_request_head *head);

#endif
