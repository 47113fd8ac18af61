#ifndef BAMBOOTALLY_HTTP_SERVER_H
#define BAMBOOTALLY_HTTP_SERVER_H

#include "edge/http_head.h"
#include "types/address.h"
#include "types/handle.h"
#include "types/table.h"

#include <gio/gio.h>

/* An HTTP/1.1 server on the main loop.  The body of a request is whole only if
   its framing said so; a request that is not valid is refused with status 400,
   and nothing behind it on its connection is read.  A response may be sent
   before the request has ended: the rest of the request is dropped then.
   A connection serves one request at a time, unless the server's user lets
   requests run ahead; responses go in the order of the requests anyway.
   Requests are identified by handles, which become stale when the response was
   sent or HTTP_SERVER_LEFT was reported.  */

/* Events of a request.  */
enum http_server_event_kind
{
  HTTP_SERVER_HEAD,     /* the head was received */
  HTTP_SERVER_DATA,     /* bytes of the body were received */
  HTTP_SERVER_BATCH,    /* all bytes received so far were reported */
  HTTP_SERVER_BODY_END, /* the body is whole */
  HTTP_SERVER_DRAINED,  /* all bytes written so far were sent, and more can be
                           written */
  HTTP_SERVER_SENT,     /* the whole response was sent; the handle is stale */
  HTTP_SERVER_LEFT      /* the caller left, the request is not valid, or the
                           connection ends before its response; the handle is
                           stale */
};

struct http_server_event
{
  enum http_server_event_kind kind;
  struct handle request; /* handle of the request */
  struct handle user;    /* handle set by http_server_set_user */
  const struct http_request_head *head; /* head of the request */
  gint64 body_length;  /* HTTP_SERVER_HEAD: body in bytes, -1: in chunks */
  const guint8 *bytes; /* HTTP_SERVER_DATA: part of the body */
  gsize byte_count;    /* HTTP_SERVER_DATA: number of bytes */
  enum err code;       /* HTTP_SERVER_LEFT: ERR_CLOSED, or why the request is
                          not valid */
};

typedef void http_server_fn (const struct http_server_event *event,
                             gpointer data);

/* Return whether the request with HEAD may run at the same time as others of
   its connection.  */
typedef gboolean http_server_ahead_fn (const struct http_request_head *head,
                                       gpointer data);

/* Head of a response.  */
struct http_response
{
  guint status;                /* status code */
  SoupMessageHeaders *headers; /* fields but those of the framing, or NULL */
  gint64 body_length;          /* body in bytes, -1: unknown */
  gboolean close;              /* the connection serves no further request but
                                  those that have started */
};

struct http_server
{
  struct table conns;       /* struct http_server_conn */
  struct table requests;    /* struct http_server_request */
  GPtrArray *listeners;     /* struct http_listener: where it listens */
  gboolean is_bounded;      /* connections may be held back, left waiting and
                               closed for lack of room */
  http_server_fn *on_event; /* receives the events */
  http_server_ahead_fn *may_run_ahead; /* which requests run at the same time,
                                          NULL: none */
  gpointer data;                       /* passed to the callbacks */
  gint64 date_sec;       /* time that date_text is for, since the epoch */
  char *date_text;       /* value of the Date field */
  guint64 refused_count; /* requests that were not valid */
  guint64 ahead_count;   /* requests that started behind others of their
                            connection */
};

void http_server_init (struct http_server *server, http_server_fn *fn,
                       gpointer data);
void http_server_run_ahead (struct http_server *server,
                            http_server_ahead_fn *fn);
enum err http_server_listen (struct http_server *server, struct address at);
guint16 http_server_port (const struct http_server *server);
void http_server_clear (struct http_server *server);
guint http_server_owed_count (const struct http_server *server);
void http_server_expire (struct http_server *server, gint64 now);

/* A request.  */
void http_server_set_user (struct http_server *server, struct handle request,
                           struct handle user);
struct handle http_server_holder (struct http_server *server,
                                  struct handle request);
gboolean http_server_has_left (struct http_server *server,
                               struct handle request);
void http_server_pause (struct http_server *server, struct handle request,
                        gboolean paused);
gboolean http_server_respond (struct http_server *server,
                              struct handle request,
                              const struct http_response *response);
gsize http_server_write (struct http_server *server, struct handle request,
                         const guint8 *bytes, gsize count);
void http_server_flush (struct http_server *server, struct handle request);
gboolean http_server_take_back (struct http_server *server,
                                struct handle request);
gboolean http_server_finish (struct http_server *server,
                             struct handle request);
gboolean http_server_is_full (struct http_server *server,
                              struct handle request);
void http_server_cut (struct http_server *server, struct handle request);
void http_server_answer (struct http_server *server, struct handle request,
                         guint status, SoupMessageHeaders *headers,
                         const char *text);
void http_server_answer_text (struct http_server *server,
                              struct handle request, guint status,
                              const char *type, const char *text);

#endif
