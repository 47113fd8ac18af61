#ifndef BAMBOOTALLY_HTTP_SERVER_CONN_H
#define BAMBOOTALLY_HTTP_SERVER_CONN_H

#include "edge/conn.h"
#include "edge/http_framing.h"
#include "edge/http_server.h"
#include "edge/http_server_request.h"

/* A connection of an HTTP server, with its requests in the order in which
   they were received.  Only the response to the first one is sent; those to
   the others are held until it is their turn.  */

/* Requests of one connection that run at the same time.  */
#define HTTP_AHEAD_MAX 8u

/* Bytes of the responses of one connection that are held until their turn.  */
#define HTTP_HELD_BYTES_MAX 65536u

/* What is read next.  */
enum http_server_input
{
  HTTP_INPUT_HEAD,    /* the head of a request */
  HTTP_INPUT_BODY,    /* its body */
  HTTP_INPUT_NONE,    /* nothing until a response was sent */
  HTTP_INPUT_WAITING, /* nothing: a head was parsed, and its request starts
                         when all responses before it were sent */
  HTTP_INPUT_REFUSED, /* nothing: the next request is not valid, and is refused
                         when all responses before it were sent */
  HTTP_INPUT_DROPPED, /* the rest of a request, which is dropped: the
                         connection is to be closed */
  HTTP_INPUT_UNREAD /* nothing more, not even to be dropped: the connection is
                       to be closed, and its caller may send a request that
                       was not read again */
};

struct http_server_conn
{
  struct http_server *server;             /* server of the connection */
  struct handle self;                     /* handle of the connection */
  struct conn *conn;                      /* the connection */
  struct handle requests[HTTP_AHEAD_MAX]; /* requests in progress, oldest
                                             first */
  guint request_count;                    /* their number */
  struct handle reading; /* request whose body is read; stale if its response
                            was sent */
  struct http_request_head head; /* HTTP_INPUT_WAITING: head of the request */
  gboolean head_runs_ahead;      /* it may run at the same time as others */
  struct http_framing framing;   /* framing of the body that is read next */
  enum http_server_input input;  /* what is read next */
  enum err refusal;              /* HTTP_INPUT_REFUSED: why */
  gsize parsed_bytes;            /* bytes of the receive buffer parsed */
  gsize held_bytes;              /* bytes of responses that are held */
  gboolean is_busy; /* input is parsed, or responses are given their turn */
  gboolean is_cut;  /* to be closed and freed, after its requests were reported
                       as left */
  gboolean keep_alive;     /* further requests are served */
  gboolean is_serial;      /* no request starts behind others any more */
  gboolean reply_by_close; /* a response was begun that ends with the
                              connection */
  GByteArray *out;         /* response bytes not given to conn yet */
  guint work_source;       /* source id of a call that goes on with input and
                              responses, 0: none */
  gint64 close_at;         /* when the connection is closed at last, monotonic
                              usec; 0: not decided */
  gint64 linger_until;     /* `close_at' is not put off beyond this time */
  gint64 checked_at;       /* when progress was checked last */
  gsize undelivered_bytes; /* sent bytes that the caller had not acknowledged
                              when that was checked last */
  guint64 dropped_bytes;   /* bytes that were read and dropped */
  guint64 dropped_before;  /* the same when that was checked last */
};

void http_server_conn_add (struct http_server *server, GSocket *socket);
void http_server_conn_free (struct http_server_conn *c);
void http_server_conn_cut (struct http_server_conn *c);
struct http_server_request *
http_server_conn_first (const struct http_server_conn *c);
struct http_server_request *
http_server_conn_last (const struct http_server_conn *c);

/* Input, http_server_read.c.  */
void http_server_conn_work (struct http_server_conn *c);
gboolean http_server_conn_takes_more (const struct http_server_conn *c);
gboolean http_server_conn_stops_reading (const struct http_server_conn *c);

/* The order of responses, http_server_turn.c.  */
void http_server_conn_turn (struct http_server_conn *c);
void http_server_conn_drained (struct http_server_conn *c);
void http_server_conn_go_on (struct http_server_conn *c);
void http_server_conn_work_later (struct http_server_conn *c);

/* Refusals and the end, http_server_close.c.  */
void http_server_conn_close_soon (struct http_server_conn *c);
gboolean http_server_conn_linger (struct http_server_conn *c, gint64 now);
gboolean http_server_conn_owes (const struct http_server_conn *c);
void http_server_conn_refuse_head (struct http_server_conn *c, enum err code);
void http_server_conn_refuse_body (struct http_server_conn *c, enum err code);
void http_server_conn_send_refusal (struct http_server_conn *c, enum err code);

/* Responses, http_server_head.c.  */
void http_server_conn_send_status (struct http_server_conn *c, guint status);

#endif
