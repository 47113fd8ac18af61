#ifndef BAMBOOTALLY_NODE_H
#define BAMBOOTALLY_NODE_H

#include "decide/core.h"
#include "edge/log_client.h"
#include "edge/proxy.h"
#include "edge/server_poll.h"
#include "edge/settings.h"
#include "edge/peer_reader.h"
#include "edge/tail_store.h"

/* One node: the core and its edges on one loop.  */

struct node
{
  struct settings settings;         /* its settings */
  struct core core;                 /* its decisions */
  GMainLoop *loop;                  /* the one loop */
  struct proxy proxy;               /* requests on their way */
  struct log_client log;            /* the log */
  struct tail_store recent_records; /* the last records that were read */
  struct peer_reader peer_log;      /* the peer that records come from */
  SoupServer *front;                /* callers, operators and the server */
  struct server_poll server_poll;   /* asks for its load */
  GByteArray *snapshot;             /* the view as last encoded, or NULL */
  GByteArray *peer_snapshot; /* the view as last encoded for a peer, or NULL */
  guint64 peer_snapshot_offset; /* its offset */
  struct view decoded_view;     /* a snapshot as last decoded */
  GQueue *deferred_events;      /* events that came during another */
  gboolean is_processing;       /* an event is being taken in */
  guint tick_timer;             /* the timer */
  gboolean should_restart;      /* it is to start as a new incarnation */
};

enum err node_init (struct node *node, const struct settings *settings);
void node_clear (struct node *node);
void node_handle_event (struct node *node, const struct event *event);
void node_perform (struct node *node, const struct action *action);
void node_reply_snapshot (struct node *node,
                          const struct action_snapshot_reply *action);
void node_encode_snapshot (struct node *node);
void node_decode_snapshot (struct node *node, const guint8 *bytes,
                           guint32 length);
enum err front_init (struct node *node);
void front_clear (struct node *node);
void admin_handle (struct node *node, SoupServerMessage *message,
                   const char *path, GHashTable *query);

#endif
