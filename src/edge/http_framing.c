#include "edge/http_framing.h"

#include <string.h>

/* Headers */

/* Parse TEXT, the values of all Content-Length fields.  A list is valid if
   its lengths are equal.  */
static enum err
parse_length (const char *text, gint64 *length)
{
  char **items = g_strsplit (text, ",", 0);
  enum err code = ERR_NONE;
  guint64 number = 0;
  guint i;

  for (i = 0; items[i] != NULL && code == ERR_NONE; i++)
    if (!g_ascii_string_to_unsigned (g_strstrip (items[i]), 10, 0, G_MAXINT64,
                                     &number, NULL)
        || !g_ascii_isdigit (items[i][0])
        || (i > 0 && number != (guint64)*length))
      code = ERR_MALFORMED;
    else
      *length = (gint64)number;
  if (i == 0)
    code = ERR_MALFORMED;
  g_strfreev (items);
  return code;
}

/* Set FRAMING to chunks.  ERR_MALFORMED: CODINGS, the transfer codings, are
   others.  */
static enum err
frame_by_chunks (const char *codings, struct http_framing *framing)
{
  if (g_ascii_strcasecmp (codings, "chunked") != 0)
    return ERR_MALFORMED;
  framing->kind = HTTP_BY_CHUNKS;
  chunked_init (&framing->u.chunked);
  return ERR_NONE;
}

/* Set FRAMING to the length in TEXT.  */
static enum err
frame_by_length (const char *text, struct http_framing *framing)
{
  framing->kind = HTTP_BY_LENGTH;
  return parse_length (text, &framing->u.remaining_bytes);
}

/* Determine the framing of a request with HEADERS.  ERR_MALFORMED: there are
   two, or one that is not valid.  */
enum err
http_framing_of_request (SoupMessageHeaders *headers, gboolean is_http_1_0,
                         struct http_framing *framing)
{
  const char *codings
      = soup_message_headers_get_list (headers, "Transfer-Encoding");
  const char *length
      = soup_message_headers_get_list (headers, "Content-Length");

  memset (framing, 0, sizeof *framing);
  if (codings != NULL)
    return length != NULL || is_http_1_0 ? ERR_MALFORMED
                                         : frame_by_chunks (codings, framing);
  return length != NULL ? frame_by_length (length, framing) : ERR_NONE;
}

/* Determine the framing of a response with HEADERS that may have a body.
   Chunks go before a length.  ERR_MALFORMED: it is not valid, or the body has
   another transfer coding, which cannot be passed on.  */
enum err
http_framing_of_response (SoupMessageHeaders *headers,
                          struct http_framing *framing)
{
  const char *codings
      = soup_message_headers_get_list (headers, "Transfer-Encoding");
  const char *length
      = soup_message_headers_get_list (headers, "Content-Length");

  memset (framing, 0, sizeof *framing);
  if (codings != NULL)
    return frame_by_chunks (codings, framing);
  if (length != NULL)
    return frame_by_length (length, framing);
  framing->kind = HTTP_BY_CLOSE;
  return ERR_NONE;
}

/* Return the bytes of a body that was not begun, -1 if unknown.  */
gint64
http_framing_length (const struct http_framing *framing)
{
  switch (framing->kind)
    {
    case HTTP_NO_BODY:
      return 0;
    case HTTP_BY_LENGTH:
      return framing->u.remaining_bytes;
    case HTTP_BY_CHUNKS:
    case HTTP_BY_CLOSE:
      break;
    }
  return -1;
}

/* Body */

/* Read a body of known length.  */
static enum err
read_length (gint64 *remaining_bytes, const guint8 *bytes, gsize count,
             struct chunked_part *part)
{
  part->data = bytes;
  part->data_count = part->used = (gsize)MIN (*remaining_bytes, (gint64)count);
  *remaining_bytes -= (gint64)part->used;
  return *remaining_bytes == 0 ? ERR_NONE : ERR_UNAVAILABLE;
}

/* Read the body from COUNT bytes and fill in PART.  Returns what chunked_read
   does.  */
enum err
http_framing_read (struct http_framing *framing, const guint8 *bytes,
                   gsize count, struct chunked_part *part)
{
  memset (part, 0, sizeof *part);
  switch (framing->kind)
    {
    case HTTP_NO_BODY:
      return ERR_NONE;
    case HTTP_BY_LENGTH:
      return read_length (&framing->u.remaining_bytes, bytes, count, part);
    case HTTP_BY_CHUNKS:
      return chunked_read (&framing->u.chunked, bytes, count, part);
    case HTTP_BY_CLOSE:
      part->data = bytes;
      part->data_count = part->used = count;
      return ERR_UNAVAILABLE;
    }
  return ERR_MALFORMED;
}
