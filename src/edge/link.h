#ifndef BAMBOOTALLY_LINK_H
#define BAMBOOTALLY_LINK_H

#include "edge/conn.h"
#include "types/table.h"
#include "types/transit.h"
#include "wire/wire_rpc.h"

/* ONC RPC between nodes on the main loop: one connection to each peer, with
   any number of pending calls.  */

/* Identifies a call to its caller; returned with the reply.  */
struct link_tag
{
  guint64 serial;     /* serial of a control call, or stream id of a forwarded
                         request; 0: none */
  guint64 user_value; /* called node's incarnation; in a mesh the
                         enum mesh_msg_kind of the call */
  struct handle user_handle; /* exchange of a forwarded request; in a mesh the
                                called member */
};

/* Events of a connection.  */
enum link_event_kind
{
  LINK_CALL,      /* a peer made a call */
  LINK_REPLY,     /* a call of this node was answered or failed */
  LINK_BATCH_END, /* all that had arrived on a connection was reported */
  LINK_CLOSED     /* a connection was closed */
};

struct link_event
{
  enum link_event_kind kind;
  struct handle link;           /* connection of the event */
  guint32 xid;                  /* RPC transaction id of the call */
  enum rpc_procedure procedure; /* procedure of the call */
  struct link_tag tag; /* LINK_REPLY: tag that was given with the call */
  enum err code;       /* LINK_REPLY: result; ERR_REFUSED: nothing was
                          sent */
  gboolean unsent;     /* LINK_REPLY that failed: the call was withdrawn before
                          any of it was sent */
  const guint8 *bytes; /* encoded arguments or results */
  gsize length;        /* length of bytes */
};

typedef void link_event_fn (const struct link_event *event, gpointer data);

/* A call that has not been answered yet.  */
struct link_call
{
  guint32 xid;                  /* RPC transaction id */
  enum rpc_procedure procedure; /* called procedure */
  struct link_tag tag;          /* returned with the reply */
  gint64 deadline;              /* when the call times out, monotonic usec */
  guint64 position; /* where the call starts in the connection's stream */
  gsize length;     /* length of the encoded call, bytes */
  gboolean unsent;  /* the call was withdrawn */
};

/* A connection to a peer or from one.  */
struct link
{
  struct links *links;         /* set that the connection belongs to */
  struct handle self;          /* handle of this connection */
  struct address peer_address; /* port 0: the peer opened the connection */
  struct conn *conn;           /* TCP connection */
  GHashTable *pending_calls;   /* struct link_call by xid: not answered yet */
  guint32 last_xid;            /* xid of the last call made */
  struct transit transit;      /* delay of the requests that the peer sent */
  gboolean is_retired;         /* new calls use another connection */
  gint64 expires_at; /* if retired: time at which the connection is closed
                        unless a message arrives earlier, monotonic usec; 0: a
                        message has arrived */
};

/* All connections of a node to and from its peers.  */
struct links
{
  GSocket *listener;       /* socket that peers connect to */
  GSource *accept_source;  /* source on listener */
  struct table link_table; /* open connections, struct link */
  link_event_fn *fn;       /* called for each event */
  gpointer data;           /* argument of fn */
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
gboolean links_withdraw (struct links *links, struct handle link,
                         enum rpc_procedure procedure, guint64 serial);
void links_reply (struct links *links, struct handle link, guint32 xid,
                  enum err code, wire_filter *filter, const void *item);
gint64 links_delay_usec (struct links *links, struct handle link,
                         gint64 sent_at, gint64 now);
guint32 links_unsent_count (const struct links *links);
void links_expire (struct links *links, gint64 now);
void links_retire (struct links *links, struct address to, gint64 now);

#endif
