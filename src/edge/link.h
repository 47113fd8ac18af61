#ifndef BAMBOOTALLY_LINK_H
#define BAMBOOTALLY_LINK_H

#include "edge/conn.h"
#include "types/table.h"
#include "wire/wire_rpc.h"

/* ONC RPC between nodes on the main loop: one connection a peer, on which any
   number of calls are under way.  */

/* Whose call it is, given back with its reply.  */
struct link_tag
{
  guint64 serial;            /* of a control call */
  guint64 user_value;        /* incarnation that was called */
  struct handle user_handle; /* of a forwarded request */
};

/* What is told.  */
enum link_event_kind
{
  LINK_CALL,  /* a peer calls */
  LINK_REPLY, /* a reply came, or will not come */
  LINK_CLOSED /* an incoming connection has ended */
};

struct link_event
{
  enum link_event_kind kind;
  struct handle link;           /* connection it came on */
  guint32 xid;                  /* number of the call */
  enum rpc_procedure procedure; /* of the call */
  struct link_tag tag;          /* LINK_REPLY: whose call it was */
  enum err code;                /* LINK_REPLY: ERR_REFUSED: nothing was sent */
  const guint8 *bytes;          /* arguments or results */
  gsize length;                 /* bytes */
};

typedef void link_event_fn (const struct link_event *event, gpointer data);

/* A call that waits for its reply.  */
struct link_call
{
  guint32 xid;                  /* its number */
  enum rpc_procedure procedure; /* what was called */
  struct link_tag tag;          /* whose it is */
  gint64 deadline;              /* when to give up, monotonic microseconds */
};

/* A connection to a peer or from one.  */
struct link
{
  struct links *links;         /* where it belongs */
  struct handle self;          /* its handle */
  struct address peer_address; /* where it leads, port 0 if it came in */
  struct conn *conn;           /* the connection */
  GHashTable *pending_calls;   /* xid to struct link_call */
  guint32 last_xid;            /* number of the next call */
  gboolean is_retired;         /* new calls go on another connection */
  gint64 expires_at; /* retired: it must show a sign of life by then; 0: it
                      has */
};

struct links
{
  GSocket *listener;       /* where peers connect */
  GSource *accept_source;  /* watch on it */
  struct table link_table; /* struct link */
  link_event_fn *fn;       /* told of events */
  gpointer data;           /* given to fn */
};

enum err links_init (struct links *links, struct address at, link_event_fn *fn,
                     gpointer data);
void links_clear (struct links *links);
struct handle links_call (struct links *links, struct address to,
                          enum rpc_procedure procedure, wire_filter *filter,
                          const void *item, const struct link_tag *tag,
                          gint64 deadline);
gboolean links_call_on (struct links *links, struct handle link,
                        enum rpc_procedure procedure, wire_filter *filter,
                        const void *item, const struct link_tag *tag,
                        gint64 deadline);
void links_reply (struct links *links, struct handle link, guint32 xid,
                  enum err code, wire_filter *filter, const void *item);
guint32 links_unsent_count (const struct links *links);
void links_expire (struct links *links, gint64 now);
void links_retire (struct links *links, struct address to, gint64 now);

#endif
