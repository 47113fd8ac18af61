#include "edge/buffer.h"
#include "edge/http_server_conn.h"

#include <string.h>

#define CHUNK_LINE_SIZE 32 /* length of a chunk's size line, in bytes */

/* Part of HTTP_HELD_BYTES_MAX that is kept for the framing of the bodies that
   are held: a chunk's lines and, for each response, the last chunk.  */
#define FRAMING_BYTES 96u

/* Bodies */

/* Append COUNT bytes to the response to R.  */
static void
queue (struct http_server_request *r, const char *bytes, gsize count)
{
  struct http_server_conn *c = http_server_request_conn (r);
  GByteArray *to = c->out;

  if (!r->has_turn)
    {
      if (r->held == NULL)
        r->held = g_byte_array_new ();
      to = r->held;
      c->held_bytes += count;
      conn_hold (c->conn, c->held_bytes);
    }
  g_byte_array_append (to, (const guint8 *)bytes, (guint)count);
}

/* Drop what was written of the response to REQUEST, so that another response
   can be written.  Return FALSE if some of it may have been sent.  */
gboolean
http_server_take_back (struct http_server *server, struct handle request)
{
  struct http_server_request *r = http_server_request_of (server, request);

  if (r == NULL || r->has_turn)
    return FALSE;
  http_server_request_drop_held (r);
  r->reply = HTTP_REPLY_NONE;
  return TRUE;
}

/* Return the number of bytes that can be added to the response to R now,
   besides their framing.  */
static gsize
room (const struct http_server_request *r)
{
  gsize held = http_server_request_conn (r)->held_bytes + FRAMING_BYTES;

  if (r->has_turn)
    return G_MAXSIZE;
  return held < HTTP_HELD_BYTES_MAX ? HTTP_HELD_BYTES_MAX - held : 0;
}

/* Append the head in COUNT BYTES to the response to R.  Return FALSE if it
   cannot be added to what is held.  */
gboolean
http_server_request_write_head (struct http_server_request *r,
                                const char *bytes, gsize count)
{
  if (count > room (r))
    return FALSE;
  queue (r, bytes, count);
  r->reply = HTTP_REPLY_BEGUN;
  return TRUE;
}

/* Write up to COUNT bytes of the body of the response to REQUEST, and return
   how many were taken: fewer only if the response is held until its turn.
   They are sent with the next flush.  */
gsize
http_server_write (struct http_server *server, struct handle request,
                   const guint8 *bytes, gsize count)
{
  struct http_server_request *r = http_server_request_of (server, request);
  char line[CHUNK_LINE_SIZE];
  gsize taken;

  if (r == NULL || r->reply != HTTP_REPLY_BEGUN || r->reply_has_no_body)
    return count;
  taken = MIN (count, room (r));
  if (taken == 0)
    return 0;
  if (r->reply_by_chunks)
    queue (r, line, (gsize)g_snprintf (line, sizeof line, "%zx\r\n", taken));
  queue (r, (const char *)bytes, taken);
  if (r->reply_by_chunks)
    queue (r, "\r\n", 2);
  return taken;
}

/* Send what was written to C.  */
static void
flush (struct http_server_conn *c)
{
  if (c->out->len > 0)
    conn_send (c->conn, c->out->data, c->out->len);
  buffer_clear (c->out);
}

/* Send what was written of the response to REQUEST.  */
void
http_server_flush (struct http_server *server, struct handle request)
{
  const struct http_server_request *r
      = http_server_request_of (server, request);

  if (r != NULL && r->has_turn)
    flush (http_server_request_conn (r));
}

/* Return whether more of the response to REQUEST should be written only after
   HTTP_SERVER_DRAINED: what was written is not sent yet, or cannot be added to
   what is held.  */
gboolean
http_server_is_full (struct http_server *server, struct handle request)
{
  const struct http_server_request *r
      = http_server_request_of (server, request);
  const struct http_server_conn *c;

  if (r == NULL)
    return FALSE;
  c = http_server_request_conn (r);
  return r->has_turn ? c->out->len + conn_unsent (c->conn) > 0 : room (r) == 0;
}

/* End the response to REQUEST.  Return whether all of it was sent; the handle
   is stale then.  Else HTTP_SERVER_SENT is reported later.  */
gboolean
http_server_finish (struct http_server *server, struct handle request)
{
  struct http_server_request *r = http_server_request_of (server, request);
  struct http_server_conn *c;

  if (r == NULL || r->reply != HTTP_REPLY_BEGUN)
    return FALSE;
  c = http_server_request_conn (r);
  if (r->reply_by_chunks)
    queue (r, "0\r\n\r\n", 5);
  r->reply = HTTP_REPLY_ENDED;
  if (!r->has_turn)
    return FALSE;
  flush (c);
  c->reply_by_close = FALSE;
  if (conn_unsent (c->conn) > 0)
    return FALSE;
  http_server_request_remove (r);
  http_server_conn_go_on (c);
  return TRUE;
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
