#ifndef BAMBOOTALLY_PROXY_H
#define BAMBOOTALLY_PROXY_H

#include "decide/link_rate.h"
#include "edge/counters.h"
#include "edge/dialect.h"
#include "edge/exchange.h"
#include "types/event.h"

/* The data path of a process: callers, the backend server on the same host,
   other nodes, and the requests between them.  The data path makes no
   decisions: requests that arrive, end or are cancelled are reported to its
   owner, which decides on them.  */

typedef void proxy_event_fn (const struct event *event, gpointer data);
typedef void proxy_link_fn (const struct link_event *event, gpointer data);

/* Owner of a data path.  */
struct proxy_owner
{
  proxy_event_fn *on_event; /* receives the events of requests */
  proxy_link_fn *on_link;   /* receives other RPCs and replies */
  gpointer data;            /* passed to both callbacks */
};

struct proxy
{
  struct http http; /* HTTP calls to the backend server and the log */
  struct http_server callers; /* connections of callers */
  struct links links;         /* connections to other nodes */
  struct table exchanges;     /* struct exchange */
  GHashTable *streams;        /* struct stream_key to exchange handle */
  GArray *arrivals; /* struct handle: exchanges of forwarded requests that are
                       to be submitted at the end of the batch */
  struct link_rate link_rate; /* what long responses to other nodes may take */
  GArray *long_responses;   /* struct handle: exchanges whose next part of the
                               response waits for the link */
  gboolean sends_long;      /* the parts that wait are being sent */
  GHashTable *server_calls; /* HTTP call handle to exchange handle */
  struct address server_address; /* address of the backend server */
  guint64 self_incarnation;      /* incarnation of this node */
  guint64 last_stream_id;        /* id of the last outgoing stream */
  gboolean leaving;              /* ask callers to connect elsewhere */
  gboolean buffer_responses;     /* buffer short responses completely */
  struct load_report load;  /* load of this node, reported to other nodes */
  struct counters counters; /* counters for metrics */
  struct dialect dialect;   /* headers for callers and the server */
  struct proxy_owner owner; /* receives the events */
};

/* Key of an incoming stream: stream ids are unique for each connection.  */
struct stream_key
{
  guint32 link_bits; /* bits of the connection's handle */
  guint64 stream;    /* id chosen by the other node */
};

enum err proxy_init (struct proxy *proxy, struct address peers,
                     const struct proxy_owner *owner);
void proxy_clear (struct proxy *proxy);
void proxy_notify (struct proxy *proxy, const struct event *event);
void proxy_expire (struct proxy *proxy, gint64 now);
guint32 proxy_pending_count (const struct proxy *proxy);

#endif
