#ifndef BAMBOOTALLY_HTTP_H
#define BAMBOOTALLY_HTTP_H

#include "edge/conn.h"
#include "edge/http_framing.h"
#include "types/table.h"

#include <libsoup/soup.h>

/* A client for HTTP/1.1 on the main loop.  Headers are parsed by libsoup; a
   SoupSession is not used because it starts threads.  Calls are identified by
   handles; the handle of a call becomes stale when the call ends.  */

/* Events of a call.  */
enum http_event_kind
{
  HTTP_HEAD,      /* status and headers were received */
  HTTP_DATA,      /* bytes of the response body were received */
  HTTP_BATCH_END, /* all bytes received so far were reported */
  HTTP_DRAINED,   /* all bytes written so far were sent */
  HTTP_ENDED      /* the response is complete, or the call failed */
};

struct http_event
{
  enum http_event_kind kind;
  struct handle call;          /* handle of the call */
  guint status;                /* HTTP_HEAD: status code */
  SoupMessageHeaders *headers; /* HTTP_HEAD: response headers */
  gint64 body_length;          /* HTTP_HEAD: body size in bytes, -1 unknown */
  const guint8 *bytes;         /* HTTP_DATA: part of the response body */
  gsize byte_count;            /* HTTP_DATA: number of bytes */
  enum err code;               /* HTTP_ENDED: ERR_NONE if complete */
  gboolean any_sent;           /* HTTP_ENDED: bytes may have been sent */
};

typedef void http_event_fn (const struct http_event *event, gpointer data);

/* An outgoing request, without its body.  */
struct http_request
{
  struct address address;      /* address of the server */
  const char *method;          /* GET, POST, ... */
  const char *target;          /* path and query */
  SoupMessageHeaders *headers; /* additional headers, or NULL */
  gint64 body_length;          /* body size in bytes, -1: chunked encoding */
  gint64 deadline;             /* time limit, monotonic, in microseconds */
  gsize response_bytes_max;    /* limit of the response body in bytes, 0: none;
                                  for calls that keep all of it */
};

struct http;

/* An outgoing request and its response.  */
struct http_call
{
  struct http *http;           /* client that made the call */
  struct handle self;          /* handle of this call */
  struct address address;      /* address of the server */
  struct conn *conn;           /* connection that the call uses */
  gboolean reused;             /* the connection has served earlier calls */
  gboolean is_head_method;     /* the method is HEAD */
  gboolean request_chunked;    /* the request body uses chunked encoding */
  gboolean request_complete;   /* the request body was written completely */
  gboolean has_head;           /* the response head was received */
  struct http_framing framing; /* framing of the response body */
  gboolean skip_response;      /* the response belongs to another request */
  gsize response_bytes_max;    /* limit of the response body, 0: none */
  gsize response_bytes;    /* bytes of the response body that were reported */
  gsize parsed_bytes;      /* bytes of the receive buffer that were parsed */
  guint interim_count;     /* interim responses so far */
  guint skipped_count;     /* responses that were skipped so far */
  gsize skipped_bytes;     /* bytes in their bodies */
  gboolean keep_alive;     /* the connection can be reused after this call */
  gint64 deadline;         /* time limit, monotonic, in microseconds */
  http_event_fn *on_event; /* receives the events */
  gpointer data;           /* passed to the callback */
};

/* A connection that waits for reuse.  */
struct http_idle
{
  struct address address; /* address of the server */
  struct conn *conn;      /* the connection */
};

struct http
{
  struct table calls; /* struct http_call */
  GPtrArray *idle;    /* struct http_idle */
};

void http_init (struct http *http);
void http_clear (struct http *http);
struct handle http_start (struct http *http,
                          const struct http_request *request,
                          http_event_fn *fn, gpointer data);
void http_write (struct http *http, struct handle call, const guint8 *bytes,
                 gsize count);
void http_finish (struct http *http, struct handle call);
gsize http_unsent (struct http *http, struct handle call);
void http_pause (struct http *http, struct handle call, gboolean paused);
void http_skip_response (struct http *http, struct handle call);
void http_abort (struct http *http, struct handle call);
void http_expire (struct http *http, gint64 now);
void http_drop_idle (struct http *http, struct address to);

#endif
