#include "edge/http.h"
#include "edge/http_answer.h"
#include "edge/http_idle.h"

#include <string.h>

#define CHUNK_LINE_SIZE 32 /* length of a chunk's size line, in bytes */

/* Calls */

/* End CALL with CODE and report HTTP_ENDED to its callback.  The
   connection is kept for reuse if request and response are complete, and
   aborted otherwise.  */
static void
end_call (struct http_call *call, enum err code)
{
  struct http *http = call->http;
  struct http_event event
      = { .kind = HTTP_ENDED,
          .call = call->self,
          .code = code,
          .any_sent = call->conn->any_sent || call->reused };
  http_event_fn *fn = call->on_event;
  gpointer data = call->data;

  if (code == ERR_NONE && call->keep_alive && call->request_complete
      && conn_unsent (call->conn) == 0)
    http_keep_idle (http, call->address, call->conn);
  else
    conn_abort (call->conn);
  table_remove (&http->calls, call->self);
  fn (&event, data);
}

/* Return how a call ends whose connection has ended with CODE.  A body that
   ends with its connection is complete if that ended in order and the whole
   request had been written: a server that ends before it has read the request
   may have been stopped within its response.  */
static enum err
code_at_close (const struct http_call *call, enum err code)
{
  if (!call->has_head || call->skip_response)
    return code;
  return call->framing.kind == HTTP_BY_CLOSE && code == ERR_CLOSED
                 && call->request_complete && conn_unsent (call->conn) == 0
             ? ERR_NONE
             : ERR_TRUNCATED;
}

/* Handle an event of the connection of a call.  */
static void
on_call_event (struct conn *conn, const struct conn_event *event,
               gpointer data)
{
  struct http_call *call = data;
  struct http *http = call->http;
  struct handle self = call->self;
  struct http_event reported = { .call = self };
  enum err code;

  (void)conn;
  switch (event->kind)
    {
    case CONN_CONNECTED:
      break;
    case CONN_RECEIVED:
      code = http_answer_read (call);
      call = table_get (&http->calls, self);
      if (call == NULL)
        return;
      if (code != ERR_UNAVAILABLE)
        {
          end_call (call, code);
          return;
        }
      reported.kind = HTTP_BATCH_END;
      call->on_event (&reported, call->data);
      break;
    case CONN_DRAINED:
      reported.kind = HTTP_DRAINED;
      call->on_event (&reported, call->data);
      break;
    case CONN_CLOSED:
      code = code_at_close (call, event->code);
      call->keep_alive = FALSE;
      end_call (call, code);
      break;
    }
}

/* Send the head of REQUEST: request line, headers and body framing.  */
static void
send_head (struct http_call *call, const struct http_request *request)
{
  GString *text = g_string_new (NULL);
  char *host = address_format (request->address);
  SoupMessageHeadersIter iter;
  const char *name;
  const char *value;

  g_string_append_printf (text, "%s %s HTTP/1.1\r\n", request->method,
                          request->target);
  if (request->headers == NULL
      || soup_message_headers_get_one (request->headers, "Host") == NULL)
    g_string_append_printf (text, "Host: %s\r\n", host);
  if (request->headers != NULL)
    {
      soup_message_headers_iter_init (&iter, request->headers);
      while (soup_message_headers_iter_next (&iter, &name, &value))
        g_string_append_printf (text, "%s: %s\r\n", name, value);
    }
  if (call->request_chunked)
    g_string_append (text, "Transfer-Encoding: chunked\r\n\r\n");
  else
    g_string_append_printf (text,
                            "Content-Length: %" G_GINT64_FORMAT "\r\n\r\n",
                            request->body_length);
  conn_send (call->conn, (const guint8 *)text->str, text->len);
  g_string_free (text, TRUE);
  g_free (host);
}

/* Start a call.  Its events go to FN with DATA, never from within this
   function.  Write the body with http_write and end it with http_finish, also
   if it is empty.  */
struct handle
http_start (struct http *http, const struct http_request *request,
            http_event_fn *fn, gpointer data)
{
  struct handle h = table_add (&http->calls);
  struct http_call *call = table_get (&http->calls, h);

  call->http = http;
  call->self = h;
  call->address = request->address;
  call->on_event = fn;
  call->data = data;
  call->deadline = request->deadline;
  call->response_bytes_max = request->response_bytes_max;
  call->request_chunked = request->body_length < 0;
  call->is_head_method = strcmp (request->method, "HEAD") == 0;
  call->keep_alive = TRUE;
  call->conn = http_take_idle (http, request->address);
  if (call->conn != NULL)
    {
      call->reused = TRUE;
      conn_set_callback (call->conn, on_call_event, call);
    }
  else
    call->conn = conn_open (request->address, on_call_event, call);
  send_head (call, request);
  return h;
}

/* Append COUNT bytes to the body of a request.  */
void
http_write (struct http *http, struct handle h, const guint8 *bytes,
            gsize count)
{
  struct http_call *call = table_get (&http->calls, h);
  char line[CHUNK_LINE_SIZE];

  if (call == NULL || count == 0)
    return;
  if (call->request_chunked)
    {
      int length = g_snprintf (line, sizeof line, "%zx\r\n", count);
      conn_send (call->conn, (const guint8 *)line, (gsize)length);
    }
  conn_send (call->conn, bytes, count);
  if (call->request_chunked)
    conn_send (call->conn, (const guint8 *)"\r\n", 2);
}

/* End the body of a request.  */
void
http_finish (struct http *http, struct handle h)
{
  struct http_call *call = table_get (&http->calls, h);

  if (call == NULL || call->request_complete)
    return;
  call->request_complete = TRUE;
  if (call->request_chunked)
    conn_send (call->conn, (const guint8 *)"0\r\n\r\n", 5);
}

/* Return the number of bytes of the request that are queued and not sent.  */
gsize
http_unsent (struct http *http, struct handle h)
{
  struct http_call *call = table_get (&http->calls, h);

  return call != NULL ? conn_unsent (call->conn) : 0;
}

/* Stop reading the response if PAUSED is true, else resume.  */
void
http_pause (struct http *http, struct handle h, gboolean paused)
{
  struct http_call *call = table_get (&http->calls, h);

  if (call != NULL)
    conn_pause (call->conn, paused);
}

/* Skip the response whose head has just been reported, and wait for the next
   one on the same connection.  */
void
http_skip_response (struct http *http, struct handle h)
{
  struct http_call *call = table_get (&http->calls, h);

  if (call != NULL)
    call->skip_response = TRUE;
}

/* Abort a call without an event.  Its connection is aborted, which tells the
   server that the call was cancelled.  */
void
http_abort (struct http *http, struct handle h)
{
  struct http_call *call = table_get (&http->calls, h);

  if (call == NULL)
    return;
  conn_abort (call->conn);
  table_remove (&http->calls, h);
}

/* End the calls whose deadline is at or before NOW with ERR_TIMEOUT.  */
void
http_expire (struct http *http, gint64 now)
{
  struct handle h = table_next (&http->calls, HANDLE_NONE);

  for (; handle_is_set (h); h = table_next (&http->calls, h))
    {
      struct http_call *call = table_get (&http->calls, h);
      if (call->deadline <= now)
        {
          call->keep_alive = FALSE;
          end_call (call, ERR_TIMEOUT);
        }
    }
}

/* Initialize a client without connections.  */
void
http_init (struct http *http)
{
  table_init (&http->calls, sizeof (struct http_call));
  http->idle = g_ptr_array_new_with_free_func (http_idle_free);
}

/* Abort all calls without events and close all connections.  */
void
http_clear (struct http *http)
{
  struct handle h = table_next (&http->calls, HANDLE_NONE);

  for (; handle_is_set (h); h = table_next (&http->calls, h))
    http_abort (http, h);
  table_clear (&http->calls);
  g_ptr_array_free (http->idle, TRUE);
}
