#ifndef BAMBOOTALLY_PROXY_H
#define BAMBOOTALLY_PROXY_H

#include "edge/counters.h"
#include "edge/dialect.h"
#include "edge/exchange.h"
#include "types/event.h"

/* The data path of a process: callers, the backend server beside it, other
   nodes, and the requests between them.  It decides nothing: its owner is told
   of requests that came, ended or were given up, and says what to do.  */

typedef void proxy_event_fn (const struct event *event, gpointer data);
typedef void proxy_link_fn (const struct link_event *event, gpointer data);

/* Who uses a data path.  */
struct proxy_owner
{
  proxy_event_fn *on_event; /* told of EVENT_REQUEST, _ENDED and _GONE */
  proxy_link_fn *on_link;   /* told of calls that do not concern requests */
  gpointer data;            /* given to both */
};

struct proxy
{
  struct http http;              /* calls to the server and the log */
  struct links links;            /* other nodes */
  struct table exchanges;        /* struct exchange */
  GHashTable *streams;           /* struct stream_key to exchange handle */
  GHashTable *server_calls;      /* bits of HTTP call to bits of exchange */
  struct address server_address; /* the backend server's address */
  guint64 self_incarnation;      /* incarnation that peers must mean */
  guint64 last_stream_id;        /* name of the last attempt passed on */
  gboolean leaving;              /* callers are asked to connect elsewhere */
  gboolean buffer_responses; /* short answers go on only once they are whole */
  struct load_report load;   /* how busy it is, told to other nodes */
  struct counters counters;  /* what it has counted */
  struct dialect dialect;    /* how callers and the server speak */
  struct proxy_owner owner;  /* who decides */
};

/* An incoming stream: names are unique on one connection.  */
struct stream_key
{
  guint32 link_bits; /* bits of the connection's handle */
  guint64 stream;    /* the peer's name */
};

enum err proxy_init (struct proxy *proxy, struct address peers,
                     const struct proxy_owner *owner);
void proxy_clear (struct proxy *proxy);
void proxy_notify (struct proxy *proxy, const struct event *event);
void proxy_expire (struct proxy *proxy, gint64 now);
guint32 proxy_pending_count (const struct proxy *proxy);

#endif
