#ifndef BAMBOOTALLY_NODE_H
#define BAMBOOTALLY_NODE_H

#include "decide/core.h"
#include "edge/log_client.h"
#include "edge/proxy.h"
#include "edge/server_poll.h"
#include "edge/settings.h"
#include "edge/source_tail.h"
#include "edge/tail_store.h"

/* One node: the core, which makes the decisions, and its input and output on
   one main loop.  */

struct node
{
  struct settings settings;       /* settings of the process */
  struct core core;               /* decision logic */
  GMainLoop *loop;                /* main loop of the process */
  struct proxy proxy;             /* data path */
  struct log_client log;          /* client of the log service */
  struct tail_store tail;         /* last records read, for other nodes */
  struct source_tail tail_source; /* reads records from a peer */
  SoupServer *front;              /* HTTP server for callers, operators and the
                          local server */
  struct server_poll poll;        /* polls the local server's load */
  GByteArray *snapshot;  /* view as last encoded for the log, or NULL */
  GByteArray *served;    /* view as last encoded for a peer, or NULL */
  guint64 served_offset; /* applied offset of that view */
  struct view decoded;   /* view of the last decoded snapshot */
  GQueue *later;         /* struct event: arose while another was handled */
  gboolean feeding;      /* an event is being handled */
  guint tick;            /* source id of the timer, 0: none */
  gboolean again;        /* the process restarts as a new incarnation */
};

enum err node_init (struct node *node, const struct settings *settings);
void node_clear (struct node *node);
void node_feed (struct node *node, const struct event *event);
void node_do (struct node *node, const struct action *action);
void node_serve_view (struct node *node,
                      const struct action_snapshot_reply *action);
void node_encode_view (struct node *node);
void node_decode_view (struct node *node, const guint8 *bytes, guint32 length);
enum err front_init (struct node *node);
void front_clear (struct node *node);
void admin_handle (struct node *node, SoupServerMessage *message,
                   const char *path, GHashTable *query);

#endif
