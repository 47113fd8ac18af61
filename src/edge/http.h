#ifndef BAMBOOTALLY_HTTP_H
#define BAMBOOTALLY_HTTP_H

#include "edge/conn.h"
#include "types/table.h"

#include <libsoup/soup.h>

/* A client for HTTP/1.1 on the main loop.  Headers are read by libsoup's
   codec; a SoupSession is not used because it starts threads.  Calls are named
   by handles; a call's handle is stale once it has ended.  */

/* What a call tells its owner.  */
enum http_event_kind
{
  HTTP_HEAD,      /* status and headers have come */
  HTTP_DATA,      /* bytes of the answer's body */
  HTTP_BATCH_END, /* all that had come was told */
  HTTP_DRAINED,   /* the bytes written so far were sent */
  HTTP_ENDED      /* the answer is whole, or the call has failed */
};

struct http_event
{
  enum http_event_kind kind;
  struct handle call;          /* which call */
  guint status;                /* HTTP_HEAD: status */
  SoupMessageHeaders *headers; /* HTTP_HEAD: headers */
  gint64 body_length;          /* HTTP_HEAD: bytes in the body, -1 unknown */
  const guint8 *bytes;         /* HTTP_DATA: the bytes */
  gsize byte_count;            /* HTTP_DATA: how many */
  enum err code;               /* HTTP_ENDED: why; ERR_NONE if whole */
  gboolean any_sent;           /* HTTP_ENDED: some bytes left this host */
};

typedef void http_event_fn (const struct http_event *event, gpointer data);

/* What to ask.  */
struct http_request
{
  struct address address;      /* server */
  const char *method;          /* GET, POST ... */
  const char *target;          /* path and query */
  SoupMessageHeaders *headers; /* more headers, may be NULL */
  gint64 body_length;          /* bytes in the body, -1 to send chunks */
  gint64 deadline;             /* when to give up, monotonic microseconds */
};

/* How the body of an answer ends.  */
enum http_framing
{
  HTTP_NO_BODY,
  HTTP_BY_LENGTH,
  HTTP_BY_CHUNKS,
  HTTP_BY_CLOSE
};

struct http;

/* A call under way.  */
struct http_call
{
  struct http *http;         /* the client */
  struct handle self;        /* its handle */
  struct address address;    /* server */
  struct conn *conn;         /* its connection */
  gboolean reused;           /* the connection served calls before */
  gboolean is_head_method;   /* the method is HEAD */
  gboolean request_chunked;  /* the request's body goes as chunks */
  gboolean request_complete; /* the request's body is whole */
  gboolean has_head;         /* the answer's head has come */
  enum http_framing framing; /* of the answer */
  gint64 remaining_bytes;    /* bytes left of the body or chunk */
  gboolean in_chunk;         /* within a chunk's data */
  gboolean in_trailer;       /* trailers are being read */
  gboolean skip_response;    /* this answer belongs to another request */
  gboolean keep_alive;       /* the connection may serve another call */
  gint64 deadline;           /* when to give up */
  http_event_fn *on_event;   /* told of events */
  gpointer data;             /* given to fn */
};

/* An idle connection.  */
struct http_idle
{
  struct address address; /* server */
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
