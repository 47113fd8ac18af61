#include "edge/http_server_conn.h"

#include <string.h>

/* Bytes of further requests that are kept while others are served.  */
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

/* Return whether the caller of HEAD waits for 100 Continue.  */
static gboolean
awaits_continue (const struct http_request_head *head)
{
  return !head->is_http_1_0
         && soup_message_headers_header_contains (head->headers, "Expect",
                                                  "100-continue");
}

/* Return whether C takes another request.  */
gboolean
http_server_conn_takes_more (const struct http_server_conn *c)
{
  if (!c->keep_alive || c->request_count == 0)
    return c->keep_alive;
  return http_server_conn_last (c)->runs_ahead && !c->is_serial
         && c->request_count < HTTP_AHEAD_MAX;
}

/* Return whether the request whose head was parsed on C may run at the same
   time as others.  One with a body is read alone, and so is one whose response
   may end with the connection.  */
static gboolean
head_runs_ahead (const struct http_server_conn *c)
{
  const struct http_server *server = c->server;

  return server->may_run_ahead != NULL && !c->head.is_http_1_0
         && http_framing_length (&c->framing) == 0
         && !awaits_continue (&c->head)
         && server->may_run_ahead (&c->head, server->data);
}

/* Begin the request whose head was parsed: report the head, and let its caller
   send the body if it waits for that.  */
static void
begin_request (struct http_server_conn *c)
{
  static const char go_on[] = "HTTP/1.1 100 Continue\r\n\r\n";
  struct http_server *server = c->server;
  struct http_server_event event = { .kind = HTTP_SERVER_HEAD };
  struct http_server_request *r;

  c->keep_alive = is_kept (&c->head);
  c->input = HTTP_INPUT_BODY;
  if (c->request_count > 0)
    server->ahead_count++;
  r = http_server_request_add (c, c->head_runs_ahead);
  r->awaits_continue = awaits_continue (&r->head);
  c->reading = r->self;
  conn_report_first (c->conn, TRUE);
  event.request = r->self;
  event.head = &r->head;
  event.body_length = http_framing_length (&c->framing);
  server->on_event (&event, server->data);
  r = http_server_request_of (server, c->reading);
  if (r != NULL && r->awaits_continue && r->reply == HTTP_REPLY_NONE)
    {
      r->awaits_continue = FALSE;
      conn_send (c->conn, (const guint8 *)go_on, strlen (go_on));
    }
}

/* Parse the head in the LENGTH BYTES.  Return why it is not valid.  */
static enum err
parse_head (struct http_server_conn *c, const guint8 *bytes, gsize length)
{
  enum err code;

  http_head_clear (&c->head);
  code = http_head_parse_request (bytes, length, &c->head);
  c->parsed_bytes += length;
  if (code != ERR_NONE)
    return code;
  return http_framing_of_request (c->head.headers, c->head.is_http_1_0,
                                  &c->framing);
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

  if (!http_server_conn_takes_more (c))
    {
      c->input = HTTP_INPUT_NONE;
      return FALSE;
    }
  if (count >= 2 && bytes[0] == '\r' && bytes[1] == '\n')
    {
      c->parsed_bytes += 2; /* RFC 9112, section 2.2 */
      return TRUE;
    }
  code = http_head_find_end (bytes, count, &length);
  if (code == ERR_UNAVAILABLE)
    return FALSE;
  if (code == ERR_NONE)
    code = parse_head (c, bytes, length);
  if (code != ERR_NONE)
    {
      http_server_conn_refuse_head (c, code);
      return FALSE;
    }
  c->head_runs_ahead = head_runs_ahead (c);
  c->input = HTTP_INPUT_WAITING;
  return TRUE;
}

/* Begin the request whose head was parsed, if it need not wait for others.
   Return whether there may be more to parse.  */
static gboolean
read_waiting (struct http_server_conn *c)
{
  if (c->request_count > 0 && !c->head_runs_ahead)
    return FALSE;
  begin_request (c);
  return TRUE;
}

/* Bodies */

/* Report an event of KIND of the request whose body is read, unless its
   response was sent.  */
static void
notify_reading (const struct http_server_conn *c,
                enum http_server_event_kind kind)
{
  struct http_server_request *r
      = http_server_request_of (c->server, c->reading);

  if (r != NULL)
    http_server_request_notify (r, kind);
}

/* Report PART of the body.  */
static void
report_data (const struct http_server_conn *c, const struct chunked_part *part)
{
  const struct http_server_request *r
      = http_server_request_of (c->server, c->reading);
  struct http_server_event event = { .kind = HTTP_SERVER_DATA,
                                     .request = c->reading,
                                     .bytes = part->data,
                                     .byte_count = part->data_count };

  if (part->data_count == 0 || r == NULL)
    return;
  event.user = r->user;
  event.head = &r->head;
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
      notify_reading (c, HTTP_SERVER_BODY_END);
      if (!c->is_cut)
        http_server_conn_go_on (c);
      return TRUE;
    }
  if (code != ERR_UNAVAILABLE)
    {
      http_server_conn_refuse_body (c, code);
      return FALSE;
    }
  if (part.data_count > 0)
    return TRUE;
  notify_reading (c, HTTP_SERVER_BATCH);
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
    case HTTP_INPUT_WAITING:
      return read_waiting (c);
    case HTTP_INPUT_NONE:
    case HTTP_INPUT_REFUSED:
    case HTTP_INPUT_UNREAD:
      return FALSE;
    case HTTP_INPUT_DROPPED:
      c->dropped_bytes += c->conn->receive_buffer->len - c->parsed_bytes;
      c->parsed_bytes = c->conn->receive_buffer->len;
      return FALSE;
    }
  return FALSE;
}

/* Return whether nothing more is to be received on C for now.  */
gboolean
http_server_conn_stops_reading (const struct http_server_conn *c)
{
  switch (c->input)
    {
    case HTTP_INPUT_HEAD:
    case HTTP_INPUT_BODY:
    case HTTP_INPUT_DROPPED:
      return FALSE;
    case HTTP_INPUT_NONE:
    case HTTP_INPUT_WAITING:
    case HTTP_INPUT_REFUSED:
      return c->conn->receive_buffer->len - c->parsed_bytes
             > PIPELINED_BYTES_MAX;
    case HTTP_INPUT_UNREAD:
      return TRUE;
    }
  return FALSE;
}

/* Report all requests of C as left, close C and free it.  */
static void
end_cut (struct http_server_conn *c)
{
  while (c->request_count > 0)
    http_server_request_end (http_server_conn_last (c), HTTP_SERVER_LEFT,
                             ERR_CLOSED);
  http_server_conn_free (c);
}

/* Go on with C: give responses their turn, and parse what was received.  C may
   have been freed on return.  */
void
http_server_conn_work (struct http_server_conn *c)
{
  gboolean more = TRUE;

  if (c->is_busy)
    return;
  c->is_busy = TRUE;
  http_server_conn_turn (c);
  while (more && !c->is_cut)
    more = read_part (c);
  if (c->is_cut)
    {
      end_cut (c);
      return;
    }
  c->is_busy = FALSE;
  conn_consume (c->conn, c->parsed_bytes);
  c->parsed_bytes = 0;
  if (http_server_conn_stops_reading (c))
    conn_pause (c->conn, TRUE);
}
