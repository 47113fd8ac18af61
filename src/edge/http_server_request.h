#ifndef BAMBOOTALLY_HTTP_SERVER_REQUEST_H
#define BAMBOOTALLY_HTTP_SERVER_REQUEST_H

#include "edge/http_server.h"

/* A request of an HTTP server, from its head to the end of its response.  */

/* How far the response is.  */
enum http_server_reply
{
  HTTP_REPLY_NONE,  /* not begun */
  HTTP_REPLY_BEGUN, /* its head was written */
  HTTP_REPLY_ENDED  /* it was written to its end */
};

struct http_server_request
{
  struct http_server *server;    /* server of the request */
  struct handle self;            /* handle of the request */
  struct handle conn;            /* its connection */
  struct handle user;            /* handle set by the server's user */
  struct http_request_head head; /* head of the request */
  enum http_server_reply reply;  /* how far the response is */
  gboolean runs_ahead;        /* may run at the same time as its neighbours */
  gboolean has_turn;          /* all responses before it were sent */
  gboolean is_cancelled;      /* to be reported as left: a response before it
                                 broke off */
  gboolean awaits_continue;   /* the caller waits for 100 Continue */
  gboolean reply_by_chunks;   /* the response body is sent in chunks */
  gboolean reply_has_no_body; /* the response has no body */
  GByteArray *held;           /* response bytes written before its turn, or
                                 NULL */
};

struct http_server_conn;

struct http_server_request *http_server_request_of (struct http_server *server,
                                                    struct handle request);
struct http_server_conn *
http_server_request_conn (const struct http_server_request *r);
struct http_server_request *
http_server_request_add (struct http_server_conn *c, gboolean runs_ahead);
gboolean http_server_request_is_last (const struct http_server_request *r);
gboolean http_server_request_write_head (struct http_server_request *r,
                                         const char *bytes, gsize count);
void http_server_request_drop_held (struct http_server_request *r);
void http_server_request_remove (struct http_server_request *r);
void http_server_request_notify (struct http_server_request *r,
                                 enum http_server_event_kind kind);
void http_server_request_end (struct http_server_request *r,
                              enum http_server_event_kind kind, enum err code);

#endif
