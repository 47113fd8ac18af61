#include "edge/http_answer.h"

#include "edge/http_head.h"
#include "edge/http_unparsed.h"

#include <string.h>

/* What is dropped without being passed on, in one call: a server may send it
   without end.  */
#define INTERIM_MAX 16u            /* interim responses */
#define SKIPPED_MAX 16u            /* responses to other requests */
#define SKIPPED_BYTES_MAX 4194304u /* bytes in their bodies */

/* Set the framing of the response body from STATUS and HEADERS.
   ERR_MALFORMED: it is not valid.  */
static enum err
choose_framing (struct http_call *call, guint status,
                SoupMessageHeaders *headers)
{
  if (call->is_head_method || status == SOUP_STATUS_NO_CONTENT
      || status == SOUP_STATUS_NOT_MODIFIED)
    {
      call->framing.kind = HTTP_NO_BODY;
      return ERR_NONE;
    }
  return http_framing_of_response (headers, &call->framing);
}

/* Report the head of the final response, with STATUS and HEADERS.  */
static enum err
report_head (struct http_call *call, guint status, SoupMessageHeaders *headers,
             SoupHTTPVersion version)
{
  struct http_event event = {
    .kind = HTTP_HEAD, .call = call->self, .status = status, .headers = headers
  };
  enum err code = choose_framing (call, status, headers);

  if (code != ERR_NONE)
    return code;
  if (version == SOUP_HTTP_1_0
      || soup_message_headers_header_contains (headers, "Connection", "close"))
    call->keep_alive = FALSE;
  call->has_head = TRUE;
  event.body_length = http_framing_length (&call->framing);
  call->on_event (&event, call->data);
  return ERR_NONE;
}

/* Read the head of a response and report it; an interim response (1xx) is
   dropped.  ERR_UNAVAILABLE: more bytes are needed.  */
static enum err
read_head (struct http_call *call)
{
  gsize length;
  enum err code = http_head_find_end (http_unparsed (call),
                                      http_unparsed_count (call), &length);
  SoupMessageHeaders *headers;
  SoupHTTPVersion version;
  guint status;

  if (code != ERR_NONE)
    return code;
  headers = soup_message_headers_new (SOUP_MESSAGE_HEADERS_RESPONSE);
  code = http_head_parse_response (http_unparsed (call), length, headers,
                                   &version, &status);
  call->parsed_bytes += length;
  if (code == ERR_NONE && status >= SOUP_STATUS_OK)
    code = report_head (call, status, headers, version);
  else if (code == ERR_NONE && ++call->interim_count > INTERIM_MAX)
    code = ERR_TOO_LARGE;
  soup_message_headers_unref (headers);
  return code;
}

/* Report PART of the body.  FALSE: the callback aborted the call, and CALL is
   no longer valid.  */
static gboolean
report_data (struct http_call *call, const struct chunked_part *part)
{
  struct http *http = call->http;
  struct handle self = call->self;
  struct http_event event = { .kind = HTTP_DATA,
                              .call = self,
                              .bytes = part->data,
                              .byte_count = part->data_count };

  if (part->data_count == 0)
    return TRUE;
  if (call->skip_response)
    {
      call->skipped_bytes += part->data_count;
      return TRUE;
    }
  call->response_bytes += part->data_count;
  call->on_event (&event, call->data);
  return table_get (&http->calls, self) != NULL;
}

/* Read the body as far as it has arrived.  ERR_NONE: the body is complete;
   ERR_UNAVAILABLE: more bytes are needed; ERR_CLOSED: the call was aborted. */
static enum err
read_body (struct http_call *call)
{
  struct chunked_part part;
  enum err code;

  do
    {
      code = http_framing_read (&call->framing, http_unparsed (call),
                                http_unparsed_count (call), &part);
      call->parsed_bytes += part.used;
      if (!report_data (call, &part))
        return ERR_CLOSED;
    }
  while (code == ERR_UNAVAILABLE && part.data_count > 0);
  return code;
}

/* Reset CALL at the end of a skipped response, to read the next one.  */
static void
reset_response (struct http_call *call)
{
  call->skip_response = FALSE;
  call->has_head = FALSE;
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
      code = read_body (call);
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
