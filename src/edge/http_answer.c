#include "edge/http_answer.h"

#include <string.h>

#define HEAD_BYTES_MAX 65536u /* bytes in the head of an answer */
#define CHUNK_LINE_MAX 1024u  /* bytes in the size line of a chunk */

/* Find NEEDLE in the bytes received; -1 if it is not there.  */
static gssize
find (const struct http_call *call, const char *needle)
{
  const GByteArray *bytes = call->conn->receive_buffer;
  const guint8 *at = bytes->len > 0 ? memmem (bytes->data, bytes->len, needle,
                                              strlen (needle))
                                    : NULL;

  return at != NULL ? at - bytes->data : -1;
}

/* Choose the framing of an answer from its head.  */
static void
choose_framing (struct http_call *call, guint status,
                SoupMessageHeaders *headers)
{
  if (call->is_head_method || status == SOUP_STATUS_NO_CONTENT
      || status == SOUP_STATUS_NOT_MODIFIED)
    {
      call->framing = HTTP_NO_BODY;
      return;
    }
  switch (soup_message_headers_get_encoding (headers))
    {
    case SOUP_ENCODING_CHUNKED:
      call->framing = HTTP_BY_CHUNKS;
      break;
    case SOUP_ENCODING_CONTENT_LENGTH:
      call->framing = HTTP_BY_LENGTH;
      call->remaining_bytes
          = soup_message_headers_get_content_length (headers);
      break;
    case SOUP_ENCODING_NONE:
      call->framing = HTTP_NO_BODY;
      break;
    default:
      call->framing = HTTP_BY_CLOSE;
      break;
    }
}

/* Read the head.  ERR_UNAVAILABLE: more bytes are needed.  */
static enum err
read_head (struct http_call *call)
{
  gssize end = find (call, "\r\n\r\n");
  SoupMessageHeaders *headers;
  SoupHTTPVersion version;
  struct http_event event = { .kind = HTTP_HEAD, .call = call->self };

  if (end < 0)
    return call->conn->receive_buffer->len > HEAD_BYTES_MAX ? ERR_TOO_LARGE
                                                            : ERR_UNAVAILABLE;
  headers = soup_message_headers_new (SOUP_MESSAGE_HEADERS_RESPONSE);
  if (!soup_headers_parse_response (
          (const char *)call->conn->receive_buffer->data, (int)end + 2,
          headers, &version, &event.status, NULL))
    {
      soup_message_headers_unref (headers);
      return ERR_MALFORMED;
    }
  conn_consume (call->conn, (gsize)end + 4);
  if (event.status < SOUP_STATUS_OK)
    {
      soup_message_headers_unref (headers);
      return ERR_NONE;
    }
  choose_framing (call, event.status, headers);
  if (version == SOUP_HTTP_1_0
      || soup_message_headers_header_contains (headers, "Connection", "close"))
    call->keep_alive = FALSE;
  call->has_head = TRUE;
  event.headers = headers;
  event.body_length = call->framing == HTTP_BY_LENGTH ? call->remaining_bytes
                      : call->framing == HTTP_NO_BODY ? 0
                                                      : -1;
  call->on_event (&event, call->data);
  soup_message_headers_unref (headers);
  return ERR_NONE;
}

/* Pass on at most MAX bytes of the body.  The call may have been dropped when
   this returns FALSE.  */
static gboolean
pass_data (struct http_call *call, gint64 max, gint64 *count)
{
  struct http *http = call->http;
  struct handle self = call->self;
  struct http_event event = { .kind = HTTP_DATA, .call = self };
  struct conn *conn = call->conn;

  *count = MIN (max, (gint64)conn->receive_buffer->len);
  if (*count == 0)
    return TRUE;
  event.bytes = conn->receive_buffer->data;
  event.byte_count = (gsize)*count;
  if (!call->skip_response)
    call->on_event (&event, call->data);
  if (table_get (&http->calls, self) == NULL)
    return FALSE;
  conn_consume (conn, (gsize)*count);
  return TRUE;
}

/* Read the size line of a chunk, or a trailer line after the last chunk.  */
static enum err
read_chunk_line (struct http_call *call)
{
  gssize end = find (call, "\r\n");
  char *line;
  char *rest = NULL;

  if (end < 0)
    return call->conn->receive_buffer->len > CHUNK_LINE_MAX ? ERR_MALFORMED
                                                            : ERR_UNAVAILABLE;
  line
      = g_strndup ((const char *)call->conn->receive_buffer->data, (gsize)end);
  conn_consume (call->conn, (gsize)end + 2);
  if (call->in_trailer)
    {
      gboolean done = line[0] == '\0';
      g_free (line);
      return done ? ERR_NONE : ERR_CONFLICT;
    }
  call->remaining_bytes = (gint64)g_ascii_strtoull (line, &rest, 16);
  if (rest == line || call->remaining_bytes < 0)
    {
      g_free (line);
      return ERR_MALFORMED;
    }
  g_free (line);
  call->in_trailer = call->remaining_bytes == 0;
  call->in_chunk = !call->in_trailer;
  return ERR_CONFLICT;
}

/* Read a body that comes as chunks.  ERR_CONFLICT: go on.  */
static enum err
read_chunks (struct http_call *call)
{
  gint64 count;

  if (!call->in_chunk)
    return read_chunk_line (call);
  if (call->remaining_bytes > 0)
    {
      if (!pass_data (call, call->remaining_bytes, &count))
        return ERR_CLOSED;
      call->remaining_bytes -= count;
      return call->remaining_bytes > 0 ? ERR_UNAVAILABLE : ERR_CONFLICT;
    }
  if (call->conn->receive_buffer->len < 2)
    return ERR_UNAVAILABLE;
  conn_consume (call->conn, 2);
  call->in_chunk = FALSE;
  return ERR_CONFLICT;
}

/* Read a part of the body.  ERR_NONE: it is whole; ERR_CONFLICT: go on.  */
static enum err
read_body (struct http_call *call)
{
  gint64 count;

  switch (call->framing)
    {
    case HTTP_NO_BODY:
      return ERR_NONE;
    case HTTP_BY_LENGTH:
      if (!pass_data (call, call->remaining_bytes, &count))
        return ERR_CLOSED;
      call->remaining_bytes -= count;
      return call->remaining_bytes == 0 ? ERR_NONE : ERR_UNAVAILABLE;
    case HTTP_BY_CHUNKS:
      return read_chunks (call);
    case HTTP_BY_CLOSE:
      return pass_data (call, G_MAXINT64, &count) ? ERR_UNAVAILABLE
                                                  : ERR_CLOSED;
    }
  return ERR_MALFORMED;
}

/* The answer of another request is over: the next one is awaited.  */
static void
end_passed_over (struct http_call *call)
{
  call->skip_response = FALSE;
  call->has_head = FALSE;
  call->in_chunk = FALSE;
  call->in_trailer = FALSE;
}

/* Read as much of the answer as has come and tell the owner of CALL.  Return
   ERR_NONE once the answer is whole, ERR_UNAVAILABLE while more is to come;
   the owner may have dropped the call meanwhile.  */
enum err
http_answer_read (struct http_call *call)
{
  struct http *http = call->http;
  struct handle self = call->self;
  enum err code = ERR_NONE;

  do
    {
      while (code == ERR_NONE && !call->has_head)
        {
          code = read_head (call);
          if (table_get (&http->calls, self) == NULL)
            return ERR_CLOSED;
        }
      if (code != ERR_NONE)
        return code;
      do
        code = read_body (call);
      while (code == ERR_CONFLICT);
      if (code != ERR_NONE || !call->skip_response)
        return code;
      end_passed_over (call);
    }
  while (TRUE);
}
