#include "edge/http_server_conn.h"

#include <string.h>

/* Bytes of further requests that are kept while one is served.  */
#define PIPELINED_BYTES_MAX 65536u

/* Return the first byte that was received on C and not parsed, and set COUNT
   to the number of these bytes.  */
static const guint8 *
unparsed (const struct http_server_conn *c, gsize *count)
{
  *count = c->conn->receive_buffer->len - c->parsed_bytes;
  return c->conn->receive_buffer->data + c->parsed_bytes;
}

/* Heads */

/* Return whether the caller keeps the connection of the request HEAD.  */
static gboolean
is_kept (const struct http_request_head *head)
{
  if (head->is_http_1_0)
    return soup_message_headers_header_contains (head->headers, "Connection",
                                                 "keep-alive");
  return !soup_message_headers_header_contains (head->headers, "Connection",
                                                "close");
}

/* Report the head of a request that was parsed, and let its caller send the
   body if it waits for that.  */
static void
begin_request (struct http_server_conn *c)
{
  static const char go_on[] = "HTTP/1.1 100 Continue\r\n\r\n";
  struct http_server_event event = { .kind = HTTP_SERVER_HEAD };

  c->keep_alive = is_kept (&c->head);
  c->awaits_continue = !c->head.is_http_1_0
                       && soup_message_headers_header_contains (
                           c->head.headers, "Expect", "100-continue");
  c->input = HTTP_INPUT_BODY;
  c->reply = HTTP_REPLY_NONE;
  c->reply_by_close = FALSE;
  c->request = table_add (&c->server->requests);
  *(struct handle *)table_get (&c->server->requests, c->request) = c->self;
  conn_report_first (c->conn, TRUE);
  event.request = c->request;
  event.head = &c->head;
  event.body_length = http_framing_length (&c->framing);
  c->server->on_event (&event, c->server->data);
  if (c->awaits_continue && c->reply == HTTP_REPLY_NONE && !c->is_cut)
    {
      c->awaits_continue = FALSE;
      conn_send (c->conn, (const guint8 *)go_on, strlen (go_on));
    }
}

/* Read the head of the next request.  Return whether there may be more to
   parse.  */
static gboolean
read_head (struct http_server_conn *c)
{
  gsize count;
  gsize length;
  const guint8 *bytes = unparsed (c, &count);
  enum err code;

  if (count >= 2 && bytes[0] == '\r' && bytes[1] == '\n')
    {
      c->parsed_bytes += 2; /* RFC 9112, section 2.2 */
      return TRUE;
    }
  code = http_head_find_end (bytes, count, &length);
  if (code == ERR_UNAVAILABLE)
    return FALSE;
  if (code == ERR_NONE)
    {
      http_head_clear (&c->head);
      code = http_head_parse_request (bytes, length, &c->head);
      c->parsed_bytes += length;
    }
  if (code == ERR_NONE)
    code = http_framing_of_request (c->head.headers, c->head.is_http_1_0,
                                    &c->framing);
  if (code != ERR_NONE)
    {
      http_server_conn_refuse (c, code);
      return FALSE;
    }
  begin_request (c);
  return TRUE;
}

/* Bodies */

/* Report PART of the body.  */
static void
report_data (struct http_server_conn *c, const struct chunked_part *part)
{
  struct http_server_event event = { .kind = HTTP_SERVER_DATA,
                                     .request = c->request,
                                     .user = c->user,
                                     .head = &c->head,
                                     .bytes = part->data,
                                     .byte_count = part->data_count };

  if (part->data_count > 0 && handle_is_set (c->request))
    c->server->on_event (&event, c->server->data);
}

/* Read the next part of a body.  Return whether there may be more to parse. */
static gboolean
read_body (struct http_server_conn *c)
{
  struct chunked_part part;
  gsize count;
  const guint8 *bytes = unparsed (c, &count);
  enum err code = http_framing_read (&c->framing, bytes, count, &part);

  c->parsed_bytes += part.used;
  report_data (c, &part);
  if (c->is_cut || c->input != HTTP_INPUT_BODY)
    return TRUE;
  if (code == ERR_NONE)
    {
      c->input = HTTP_INPUT_NONE;
      http_server_conn_notify (c, HTTP_SERVER_BODY_END);
      if (!c->is_cut && c->reply == HTTP_REPLY_ENDED
          && !handle_is_set (c->request))
        http_server_conn_end (c);
      return TRUE;
    }
  if (code != ERR_UNAVAILABLE)
    {
      http_server_conn_refuse (c, code);
      return FALSE;
    }
  if (part.data_count > 0)
    return TRUE;
  http_server_conn_notify (c, HTTP_SERVER_BATCH);
  return FALSE;
}

/* Input */

/* Parse the next part of what was received.  Return whether there may be more
   to parse.  */
static gboolean
read_part (struct http_server_conn *c)
{
  switch (c->input)
    {
    case HTTP_INPUT_HEAD:
      return read_head (c);
    case HTTP_INPUT_BODY:
      return read_body (c);
    case HTTP_INPUT_NONE:
    case HTTP_INPUT_UNREAD:
      return FALSE;
    case HTTP_INPUT_DROPPED:
      c->parsed_bytes = c->conn->receive_buffer->len;
      return FALSE;
    }
  return FALSE;
}

/* Parse what was received on C.  C may have been freed on return.  */
void
http_server_conn_read (struct http_server_conn *c)
{
  gboolean more = TRUE;

  if (c->is_reading)
    return;
  c->is_reading = TRUE;
  while (more && !c->is_cut)
    more = read_part (c);
  c->is_reading = FALSE;
  if (c->is_cut)
    {
      http_server_conn_free (c);
      return;
    }
  conn_consume (c->conn, c->parsed_bytes);
  c->parsed_bytes = 0;
  if (c->input == HTTP_INPUT_NONE
      && c->conn->receive_buffer->len > PIPELINED_BYTES_MAX)
    conn_pause (c->conn, TRUE);
}

/* Parse what was received while a response was sent.  */
static gboolean
on_read_on (gpointer data)
{
  struct http_server_conn *c = data;

  c->read_on = 0;
  http_server_conn_read (c);
  return G_SOURCE_REMOVE;
}

/* End the request on C, whose response was sent, if the request has ended too:
   read the next one, or close the connection.  */
void
http_server_conn_end (struct http_server_conn *c)
{
  if (c->input == HTTP_INPUT_NONE && c->keep_alive)
    {
      c->input = HTTP_INPUT_HEAD;
      c->reply = HTTP_REPLY_NONE;
      if (!c->is_reading && c->read_on == 0
          && c->conn->receive_buffer->len > 0)
        c->read_on = g_idle_add_full (G_PRIORITY_DEFAULT, on_read_on, c, NULL);
    }
  conn_pause (c->conn, c->input == HTTP_INPUT_UNREAD);
}
