#include "edge/http_server_conn.h"
#include "types/clock.h"

#define STATUS_FIELDS_TOO_LARGE 431u /* libsoup does not define it */

/* Time for the caller to read the response before the connection is closed:
   bytes that it sends meanwhile would reset the connection.  */
#define LINGER_USEC ((gint64)1000000)

/* Refusals, and the end of a connection that is closed in order.  */

/* Close C soon: end its sending half once all is sent, and close it when the
   caller closes it too or LINGER_USEC have passed.  The rest of a request is
   dropped until then; of a further one nothing is read.  */
void
http_server_conn_close_soon (struct http_server_conn *c)
{
  c->input = c->input == HTTP_INPUT_BODY || c->input == HTTP_INPUT_DROPPED
                 ? HTTP_INPUT_DROPPED
                 : HTTP_INPUT_UNREAD;
  if (c->close_at != 0 || conn_unsent (c->conn) > 0)
    return;
  conn_end_sending (c->conn);
  c->close_at = clock_usec () + LINGER_USEC;
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
