#include "edge/http_server_conn.h"
#include "types/clock.h"

#define STATUS_FIELDS_TOO_LARGE 431u /* libsoup does not define it */

/* Time for the caller to close the connection, or to send more of a request
   that is dropped, after it has taken all that was sent.  */
#define LINGER_USEC ((gint64)1000000)

/* Time without any progress after which a caller does not read on.  */
#define STALL_USEC ((gint64)2000000)

/* Longest time for a caller that goes on reading, and for one that only goes
   on sending.  */
#define LINGER_MAX_USEC ((gint64)60000000)
#define LINGER_SENDING_USEC ((gint64)10000000)

/* Refusals, and the end of a connection that is closed in order: RFC 9112,
   section 9.6.  */

/* Return how long C may stay open without progress.  */
static gint64
patience_usec (const struct http_server_conn *c)
{
  return c->undelivered_bytes > 0 ? STALL_USEC : LINGER_USEC;
}

/* Close C soon: end its sending half once all is with the system, and close it
   when the caller has taken it and closes the connection too, or does not go
   on.  The rest of a request is dropped until then; of a further one nothing
   is read, which resets the connection if it is closed after all was taken. */
void
http_server_conn_close_soon (struct http_server_conn *c)
{
  gint64 now = clock_usec ();

  c->input = c->input == HTTP_INPUT_BODY || c->input == HTTP_INPUT_DROPPED
                 ? HTTP_INPUT_DROPPED
                 : HTTP_INPUT_UNREAD;
  if (c->close_at != 0 || conn_unsent (c->conn) > 0)
    return;
  conn_end_sending (c->conn);
  c->undelivered_bytes = conn_undelivered (c->conn);
  c->dropped_before = c->dropped_bytes;
  c->checked_at = now;
  c->close_at = now + patience_usec (c);
  c->linger_until
      = now
        + (c->undelivered_bytes > 0 ? LINGER_MAX_USEC : LINGER_SENDING_USEC);
}

/* Put off the close of C, which is decided, if its caller has gone on reading
   or sending since the last check.  Return whether C is to be closed at
   NOW.  */
gboolean
http_server_conn_linger (struct http_server_conn *c, gint64 now)
{
  gsize undelivered = conn_undelivered (c->conn);
  gboolean has_moved = undelivered < c->undelivered_bytes
                       || c->dropped_bytes > c->dropped_before;

  c->undelivered_bytes = undelivered;
  c->dropped_before = c->dropped_bytes;
  if (has_moved)
    c->close_at = MIN (c->checked_at + patience_usec (c), c->linger_until);
  c->checked_at = now;
  return c->close_at <= now;
}

/* Return whether the caller of C, which is to be closed, has not taken all
   that was sent.  */
gboolean
http_server_conn_owes (const struct http_server_conn *c)
{
  return c->close_at != 0 && c->undelivered_bytes > 0;
}

/* Refuse on C what is not valid for CODE, and close C.  All responses before
   that were sent.  */
void
http_server_conn_send_refusal (struct http_server_conn *c, enum err code)
{
  c->input = HTTP_INPUT_DROPPED;
  c->keep_alive = FALSE;
  http_server_conn_send_status (c, code == ERR_TOO_LARGE
                                       ? STATUS_FIELDS_TOO_LARGE
                                       : SOUP_STATUS_BAD_REQUEST);
  http_server_conn_close_soon (c);
}

/* Refuse the head that was received on C, which is not valid for CODE, and
   read nothing more.  The refusal is sent behind the responses before it.  */
void
http_server_conn_refuse_head (struct http_server_conn *c, enum err code)
{
  c->server->refused_count++;
  if (c->request_count == 0)
    {
      http_server_conn_send_refusal (c, code);
      return;
    }
  c->input = HTTP_INPUT_REFUSED;
  c->refusal = code;
}

/* Refuse the request whose body was received on C and is not valid for CODE,
   and read nothing more.  It is reported as left if its response was not
   sent.  A request with a body is alone on its connection.  */
void
http_server_conn_refuse_body (struct http_server_conn *c, enum err code)
{
  struct http_server_request *r = http_server_conn_first (c);
  enum http_server_reply reply = r != NULL ? r->reply : HTTP_REPLY_ENDED;

  c->server->refused_count++;
  c->input = HTTP_INPUT_DROPPED;
  c->keep_alive = FALSE;
  if (r != NULL)
    http_server_request_end (r, HTTP_SERVER_LEFT, code);
  switch (reply)
    {
    case HTTP_REPLY_NONE:
      http_server_conn_send_refusal (c, code);
      break;
    case HTTP_REPLY_BEGUN:
      http_server_conn_cut (c);
      break;
    case HTTP_REPLY_ENDED:
      http_server_conn_close_soon (c);
      break;
    }
}
