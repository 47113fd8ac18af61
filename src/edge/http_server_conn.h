#ifndef BAMBOOTALLY_HTTP_SERVER_CONN_H
#define BAMBOOTALLY_HTTP_SERVER_CONN_H

#include "edge/conn.h"
#include "edge/http_framing.h"
#include "edge/http_server.h"

/* A connection of an HTTP server, which serves one request at a time.  */

/* What is read next.  */
enum http_server_input
{
  HTTP_INPUT_HEAD,    /* the head of a request */
  HTTP_INPUT_BODY,    /* its body */
  HTTP_INPUT_NONE,    /* nothing until the response was sent */
  HTTP_INPUT_DROPPED, /* the rest of a request, which is dropped: the
                         connection is to be closed */
  HTTP_INPUT_UNREAD /* nothing more, not even to be dropped: the connection is
                       to be closed, and its caller may send a request that
                       was not read again */
};

/* How far the response is.  */
enum http_server_reply
{
  HTTP_REPLY_NONE,  /* not begun */
  HTTP_REPLY_BEGUN, /* its head was written */
  HTTP_REPLY_ENDED  /* it was written to its end */
};

struct http_server_conn
{
  struct http_server *server;    /* server of the connection */
  struct handle self;            /* handle of the connection */
  struct conn *conn;             /* the connection */
  struct handle request;         /* request in progress, or HANDLE_NONE */
  struct handle user;            /* handle set by the server's user */
  struct http_request_head head; /* head of the request */
  struct http_framing framing;   /* framing of its body */
  enum http_server_input input;  /* what is read next */
  enum http_server_reply reply;  /* how far the response is */
  gsize parsed_bytes;            /* bytes of the receive buffer parsed */
  gboolean is_reading;           /* the receive buffer is being parsed */
  gboolean is_cut;               /* closed meanwhile, and freed after that */
  gboolean keep_alive;           /* further requests are served */
  gboolean awaits_continue;      /* the caller waits for 100 Continue */
  gboolean reply_by_chunks;      /* the response body is sent in chunks */
  gboolean reply_by_close;       /* it ends with the connection */
  gboolean reply_has_no_body;    /* the response has no body */
  GByteArray *out;               /* response bytes not given to conn yet */
  guint read_on;                 /* source id of a call that parses what was
                                    received before, 0: none */
  gint64 close_at;               /* when the connection is closed at last,
                                    monotonic usec; 0: not decided */
};

void http_server_conn_add (struct http_server *server, GSocket *socket);
void http_server_conn_free (struct http_server_conn *c);
void http_server_conn_cut (struct http_server_conn *c);
struct http_server_conn *http_server_conn_of (struct http_server *server,
                                              struct handle request);
void http_server_conn_notify (struct http_server_conn *c,
                              enum http_server_event_kind kind);
struct handle http_server_conn_release (struct http_server_conn *c);
void http_server_conn_read (struct http_server_conn *c);
void http_server_conn_end (struct http_server_conn *c);
void http_server_conn_refuse (struct http_server_conn *c, enum err code);
void http_server_conn_send_refusal (struct http_server_conn *c, guint status);
void http_server_conn_drained (struct http_server_conn *c);

#endif
