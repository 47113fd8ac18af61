#include "edge/http_answer.h"
#include "edge/http_unparsed.h"

#include <string.h>

#define HEAD_BYTES_MAX 65536u /* bytes in the head of a response */
#define CHUNK_LINE_MAX 1024u  /* bytes in the size line of a chunk */

/* What is dropped without being passed on, in one call: a server may send it
   without end.  */
#define INTERIM_MAX 16u            /* interim responses */
#define TRAILER_BYTES_MAX 65536u   /* bytes in a trailer */
#define SKIPPED_MAX 16u            /* responses to other requests */
#define SKIPPED_BYTES_MAX 4194304u /* bytes in their bodies */

/* Set the framing of the response body from STATUS and HEADERS.  */
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

/* Read the head of a response and report it; an interim response (1xx) is
   dropped.  ERR_UNAVAILABLE: more bytes are needed.  */
static enum err
read_head (struct http_call *call)
{
  gssize end = http_find_unparsed (call, "\r\n\r\n");
  SoupMessageHeaders *headers;
  SoupHTTPVersion version;
  struct http_event event = { .kind = HTTP_HEAD, .call = call->self };

  if (end < 0)
    return http_unparsed_count (call) > HEAD_BYTES_MAX ? ERR_TOO_LARGE
                                                       : ERR_UNAVAILABLE;
  headers = soup_message_headers_new (SOUP_MESSAGE_HEADERS_RESPONSE);
  if (!soup_headers_parse_response ((const char *)http_unparsed (call),
                                    (int)end + 2, headers, &version,
                                    &event.status, NULL))
    {
      soup_message_headers_unref (headers);
      return ERR_MALFORMED;
    }
  call->parsed_bytes += (gsize)end + 4;
  if (event.status < SOUP_STATUS_OK)
    {
      soup_message_headers_unref (headers);
      return ++call->interim_count > INTERIM_MAX ? ERR_TOO_LARGE : ERR_NONE;
    }
  choose_framing (call, event.status, headers);
  if (call->framing == HTTP_BY_LENGTH && call->remaining_bytes < 0)
    {
      soup_message_headers_unref (headers);
      return ERR_MALFORMED;
    }
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

/* Report at most MAX bytes of the body and set COUNT to their number.  FALSE:
   the callback aborted the call, and CALL is no longer valid.  */
static gboolean
report_data (struct http_call *call, gint64 max, gint64 *count)
{
  struct http *http = call->http;
  struct handle self = call->self;
  struct http_event event = { .kind = HTTP_DATA, .call = self };

  *count = MIN (max, (gint64)http_unparsed_count (call));
  if (*count == 0)
    return TRUE;
  event.bytes = http_unparsed (call);
  event.byte_count = (gsize)*count;
  if (call->skip_response)
    call->skipped_bytes += event.byte_count;
  else
    call->on_event (&event, call->data);
  if (table_get (&http->calls, self) == NULL)
    return FALSE;
  if (!call->skip_response)
    call->response_bytes += event.byte_count;
  call->parsed_bytes += (gsize)*count;
  return TRUE;
}

/* Read the size line of a chunk, or a trailer line after the last chunk.
   ERR_NONE: the body is complete; ERR_CONFLICT: read on; ERR_UNAVAILABLE: more
   bytes are needed.  */
static enum err
read_chunk_line (struct http_call *call)
{
  gssize end = http_find_unparsed (call, "\r\n");
  char *line;
  char *rest = NULL;

  if (end < 0)
    return http_unparsed_count (call) > CHUNK_LINE_MAX ? ERR_MALFORMED
                                                       : ERR_UNAVAILABLE;
  line = g_strndup ((const char *)http_unparsed (call), (gsize)end);
  call->parsed_bytes += (gsize)end + 2;
  if (call->in_trailer)
    {
      gboolean done = line[0] == '\0';
      g_free (line);
      call->trailer_bytes += (gsize)end + 2;
      if (call->trailer_bytes > TRAILER_BYTES_MAX)
        return ERR_TOO_LARGE;
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

/* Read a body in chunked encoding.  ERR_CONFLICT: read on.  */
static enum err
read_chunks (struct http_call *call)
{
  gint64 count;

  if (!call->in_chunk)
    return read_chunk_line (call);
  if (call->remaining_bytes > 0)
    {
      if (!report_data (call, call->remaining_bytes, &count))
        return ERR_CLOSED;
      call->remaining_bytes -= count;
      return call->remaining_bytes > 0 ? ERR_UNAVAILABLE : ERR_CONFLICT;
    }
  if (http_unparsed_count (call) < 2)
    return ERR_UNAVAILABLE;
  call->parsed_bytes += 2;
  call->in_chunk = FALSE;
  return ERR_CONFLICT;
}

/* Read a part of the body.  ERR_NONE: the body is complete; ERR_CONFLICT: read
   on; ERR_UNAVAILABLE: more bytes are needed; ERR_CLOSED: the call was
   aborted.  */
static enum err
read_body (struct http_call *call)
{
  gint64 count;

  switch (call->framing)
    {
    case HTTP_NO_BODY:
      return ERR_NONE;
    case HTTP_BY_LENGTH:
      if (!report_data (call, call->remaining_bytes, &count))
        return ERR_CLOSED;
      call->remaining_bytes -= count;
      return call->remaining_bytes == 0 ? ERR_NONE : ERR_UNAVAILABLE;
    case HTTP_BY_CHUNKS:
      return read_chunks (call);
    case HTTP_BY_CLOSE:
      return report_data (call, G_MAXINT64, &count) ? ERR_UNAVAILABLE
                                                    : ERR_CLOSED;
    }
  return ERR_MALFORMED;
}

/* Reset CALL at the end of a skipped response, to read the next one.  */
static void
reset_response (struct http_call *call)
{
  call->skip_response = FALSE;
  call->has_head = FALSE;
  call->in_chunk = FALSE;
  call->in_trailer = FALSE;
}

/* Return whether the bodies of the responses to CALL are longer than its
   limits.  */
static gboolean
is_too_long (const struct http_call *call)
{
  return call->skipped_bytes > SKIPPED_BYTES_MAX
         || (call->response_bytes_max > 0
             && call->response_bytes > call->response_bytes_max);
}

/* Parse the bytes that were received on the connection of CALL and report the
   response.  Return what http_answer_read does.  */
static enum err
parse (struct http_call *call)
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
      if (code == ERR_CLOSED)
        return code;
      if (is_too_long (call))
        return ERR_TOO_LARGE;
      if (!call->skip_response)
        return code;
      if (code != ERR_NONE)
        return code;
      if (++call->skipped_count > SKIPPED_MAX)
        return ERR_TOO_LARGE;
      reset_response (call);
    }
  while (TRUE);
}

/* Parse the bytes received on the connection of CALL and report the response.
   Return ERR_NONE once the response is complete, ERR_UNAVAILABLE while more is
   expected, and another code if it is invalid or if too much of it had to be
   dropped.  The callback may have aborted the call on return.  */
enum err
http_answer_read (struct http_call *call)
{
  struct http *http = call->http;
  struct handle self = call->self;
  enum err code = parse (call);

  call = table_get (&http->calls, self);
  if (call == NULL)
    return ERR_CLOSED;
  conn_consume (call->conn, call->parsed_bytes);
  call->parsed_bytes = 0;
  return code;
}
