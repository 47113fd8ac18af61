#include "edge/http_server_conn.h"

#include <string.h>

/* Heads of responses.  */

#define SERVER_NAME "bambootally"
#define HEAD_SIZE 512 /* usual length of a response head, in bytes */

/* Return the value of the Date field for the present second.  */
static const char *
date_text (struct http_server *server)
{
  gint64 now_sec = g_get_real_time () / G_USEC_PER_SEC;

  if (server->date_text == NULL || server->date_sec != now_sec)
    {
      GDateTime *time = g_date_time_new_from_unix_utc (now_sec);
      g_free (server->date_text);
      server->date_text = soup_date_time_to_string (time, SOUP_DATE_HTTP);
      server->date_sec = now_sec;
      g_date_time_unref (time);
    }
  return server->date_text;
}

/* Append the field NAME with VALUE to TEXT.  */
static void
add_field (GString *text, const char *name, const char *value)
{
  g_string_append (text, name);
  g_string_append (text, ": ");
  g_string_append (text, value);
  g_string_append (text, "\r\n");
}

/* Append the fields of HEADERS to TEXT, and those that the server adds.  */
static void
add_fields (struct http_server *server, GString *text,
            SoupMessageHeaders *headers)
{
  SoupMessageHeadersIter iter;
  const char *name;
  const char *value;
  gboolean has_server = FALSE;
  gboolean has_date = FALSE;

  if (headers != NULL)
    {
      soup_message_headers_iter_init (&iter, headers);
      while (soup_message_headers_iter_next (&iter, &name, &value))
        {
          add_field (text, name, value);
          has_server |= g_ascii_strcasecmp (name, "Server") == 0;
          has_date |= g_ascii_strcasecmp (name, "Date") == 0;
        }
    }
  if (!has_server)
    add_field (text, "Server", SERVER_NAME);
  if (!has_date)
    add_field (text, "Date", date_text (server));
}

/* Append the framing of a body of LENGTH bytes, -1 if unknown, with STATUS, to
   the head of the response to R.  */
static void
add_framing (struct http_server_request *r, GString *text, guint status,
             gint64 length)
{
  gboolean has_none
      = status == SOUP_STATUS_NO_CONTENT || status == SOUP_STATUS_NOT_MODIFIED;

  r->reply_has_no_body = has_none || strcmp (r->head.method, "HEAD") == 0;
  r->reply_by_chunks
      = !r->reply_has_no_body && length < 0 && !r->head.is_http_1_0;
  if (r->reply_by_chunks)
    add_field (text, "Transfer-Encoding", "chunked");
  else if (!has_none && length >= 0)
    g_string_append_printf (text, "Content-Length: %" G_GINT64_FORMAT "\r\n",
                            length);
}

/* Decide whether C serves further requests after RESPONSE to R.  One that asks
   for a close while others have started behind it leaves that to the last of
   them: no more are started behind them.  */
static void
decide_keep_alive (struct http_server_conn *c, struct http_server_request *r,
                   const struct http_response *response, gboolean is_last)
{
  /* The caller may not send the body that it has announced.  */
  gboolean closes = response->close || r->awaits_continue;

  c->reply_by_close = r->head.is_http_1_0 && !r->reply_has_no_body
                      && response->body_length < 0;
  if (closes && !is_last)
    c->is_serial = TRUE;
  else if (closes || c->reply_by_close)
    c->keep_alive = FALSE;
}

/* Append the field that says whether C serves further requests after the
   response to R.  */
static void
add_connection (const struct http_server_conn *c,
                const struct http_server_request *r, GString *text,
                gboolean is_last)
{
  if (!c->keep_alive && is_last)
    add_field (text, "Connection", "close");
  else if (r->head.is_http_1_0)
    add_field (text, "Connection", "keep-alive");
}

/* Write the head of the response to REQUEST.  The body follows with
   http_server_write.  Return FALSE if nothing was written, since the head
   cannot be added to what is held until its turn: HTTP_SERVER_DRAINED is
   reported when it can be written.  */
gboolean
http_server_respond (struct http_server *server, struct handle request,
                     const struct http_response *response)
{
  struct http_server_request *r = http_server_request_of (server, request);
  struct http_server_conn *c;
  GString *text;
  gboolean is_last;
  gboolean fits;

  if (r == NULL || r->reply != HTTP_REPLY_NONE)
    return TRUE;
  c = http_server_request_conn (r);
  is_last = http_server_request_is_last (r);
  text = g_string_sized_new (HEAD_SIZE);
  g_string_append_printf (text, "HTTP/1.1 %u %s\r\n", response->status,
                          soup_status_get_phrase (response->status));
  add_fields (server, text, response->headers);
  add_framing (r, text, response->status, response->body_length);
  decide_keep_alive (c, r, response, is_last);
  add_connection (c, r, text, is_last);
  g_string_append (text, "\r\n");
  fits = http_server_request_write_head (r, text->str, text->len);
  g_string_free (text, TRUE);
  return fits;
}

/* Send status STATUS on C, which serves nothing after that.  */
void
http_server_conn_send_status (struct http_server_conn *c, guint status)
{
  char *text = g_strdup_printf (
      "HTTP/1.1 %u %s\r\nServer: " SERVER_NAME "\r\nDate: %s\r\n"
      "Content-Length: 0\r\nConnection: close\r\n\r\n",
      status, soup_status_get_phrase (status), date_text (c->server));

  conn_send (c->conn, (const guint8 *)text, strlen (text));
  g_free (text);
}
