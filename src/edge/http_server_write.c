#include "edge/http_server_conn.h"
#include "types/clock.h"

#include <string.h>

#define STATUS_FIELDS_TOO_LARGE 431u /* libsoup does not define it */
#define CHUNK_LINE_SIZE 32 /* length of a chunk's size line, in bytes */

/* Time for the caller to read the response before the connection is closed:
   bytes that it sends meanwhile would reset the connection.  */
#define LINGER_USEC ((gint64)1000000)

/* Bodies */

/* Append COUNT bytes to what is sent with the next flush.  */
static void
queue (struct http_server_conn *c, const char *bytes, gsize count)
{
  g_byte_array_append (c->out, (const guint8 *)bytes, (guint)count);
}

/* Write COUNT bytes of the body of the response to REQUEST.  They are sent
   with the next flush.  */
void
http_server_write (struct http_server *server, struct handle request,
                   const guint8 *bytes, gsize count)
{
  struct http_server_conn *c = http_server_conn_of (server, request);
  char line[CHUNK_LINE_SIZE];

  if (c == NULL || count == 0 || c->reply != HTTP_REPLY_BEGUN
      || c->reply_has_no_body)
    return;
  if (c->reply_by_chunks)
    queue (c, line, (gsize)g_snprintf (line, sizeof line, "%zx\r\n", count));
  queue (c, (const char *)bytes, count);
  if (c->reply_by_chunks)
    queue (c, "\r\n", 2);
}

/* Send what was written to C.  */
static void
flush (struct http_server_conn *c)
{
  if (c->out->len > 0)
    conn_send (c->conn, c->out->data, c->out->len);
  g_byte_array_set_size (c->out, 0);
}

/* Send what was written of the response to REQUEST.  */
void
http_server_flush (struct http_server *server, struct handle request)
{
  struct http_server_conn *c = http_server_conn_of (server, request);

  if (c != NULL)
    flush (c);
}

/* Return the number of bytes that were written to REQUEST and not sent.  */
gsize
http_server_unsent (struct http_server *server, struct handle request)
{
  struct http_server_conn *c = http_server_conn_of (server, request);

  return c != NULL ? c->out->len + conn_unsent (c->conn) : 0;
}

/* The end */

/* Close C soon: end its sending half once all is sent, and close it when the
   caller closes it too or LINGER_USEC have passed.  The rest of a request is
   dropped until then; of a further one nothing is read.  */
static void
close_soon (struct http_server_conn *c)
{
  c->input = c->input == HTTP_INPUT_NONE || c->input == HTTP_INPUT_UNREAD
                 ? HTTP_INPUT_UNREAD
                 : HTTP_INPUT_DROPPED;
  if (c->close_at != 0 || conn_unsent (c->conn) > 0)
    return;
  conn_end_sending (c->conn);
  c->close_at = clock_usec () + LINGER_USEC;
}

/* End the response on C, all of which was sent.  */
static void
reply_sent (struct http_server_conn *c)
{
  conn_report_first (c->conn, FALSE);
  http_server_conn_release (c);
  if (!c->keep_alive)
    close_soon (c);
  http_server_conn_end (c);
}

/* End the response to REQUEST.  Return whether all of it was sent; the handle
   is stale then.  Else HTTP_SERVER_SENT is reported later.  */
gboolean
http_server_finish (struct http_server *server, struct handle request)
{
  struct http_server_conn *c = http_server_conn_of (server, request);

  if (c == NULL || c->reply != HTTP_REPLY_BEGUN)
    return FALSE;
  if (c->reply_by_chunks)
    queue (c, "0\r\n\r\n", 5);
  flush (c);
  c->reply = HTTP_REPLY_ENDED;
  if (conn_unsent (c->conn) > 0)
    return FALSE;
  reply_sent (c);
  return TRUE;
}

/* Handle the end of sending on C.  */
void
http_server_conn_drained (struct http_server_conn *c)
{
  struct http_server_event event = { .kind = HTTP_SERVER_SENT,
                                     .request = c->request,
                                     .user = c->user,
                                     .head = &c->head };

  if (c->input == HTTP_INPUT_DROPPED || c->input == HTTP_INPUT_UNREAD)
    close_soon (c);
  if (!handle_is_set (c->request))
    return;
  switch (c->reply)
    {
    case HTTP_REPLY_NONE:
      break;
    case HTTP_REPLY_BEGUN:
      http_server_conn_notify (c, HTTP_SERVER_DRAINED);
      break;
    case HTTP_REPLY_ENDED:
      reply_sent (c);
      c->server->on_event (&event, c->server->data);
      break;
    }
}

/* Answer REQUEST with STATUS, the fields HEADERS, which may be NULL, and the
   body TEXT.  */
void
http_server_answer (struct http_server *server, struct handle request,
                    guint status, SoupMessageHeaders *headers,
                    const char *text)
{
  struct http_response response = { .status = status,
                                    .headers = headers,
                                    .body_length = (gint64)strlen (text) };

  http_server_respond (server, request, &response);
  http_server_write (server, request, (const guint8 *)text, strlen (text));
  http_server_finish (server, request);
}

/* Answer REQUEST with STATUS and the body TEXT of content type TYPE.  */
void
http_server_answer_text (struct http_server *server, struct handle request,
                         guint status, const char *type, const char *text)
{
  SoupMessageHeaders *headers
      = soup_message_headers_new (SOUP_MESSAGE_HEADERS_RESPONSE);

  soup_message_headers_append (headers, "Content-Type", type);
  http_server_answer (server, request, status, headers, text);
  soup_message_headers_unref (headers);
}

/* Refuse what was received on C, which is not valid for CODE, and read nothing
   more.  A request that was begun is reported as left.  */
void
http_server_conn_refuse (struct http_server_conn *c, enum err code)
{
  struct http_server_event left = {
    .kind = HTTP_SERVER_LEFT, .user = c->user, .head = &c->head, .code = code
  };

  c->server->refused_count++;
  c->input = HTTP_INPUT_DROPPED;
  c->keep_alive = FALSE;
  if (handle_is_set (c->request))
    {
      left.request = http_server_conn_release (c);
      c->server->on_event (&left, c->server->data);
    }
  if (c->reply == HTTP_REPLY_BEGUN)
    {
      http_server_conn_cut (c);
      return;
    }
  if (c->reply == HTTP_REPLY_NONE)
    http_server_conn_send_refusal (c, code == ERR_TOO_LARGE
                                          ? STATUS_FIELDS_TOO_LARGE
                                          : SOUP_STATUS_BAD_REQUEST);
  close_soon (c);
}
