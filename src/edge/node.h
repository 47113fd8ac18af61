#ifndef BAMBOOTALLY_NODE_H
#define BAMBOOTALLY_NODE_H

#include "decide/core.h"
#include "edge/log_client.h"
#include "edge/peer_reader.h"
#include "edge/proxy.h"
#include "edge/quiet_turn.h"
#include "edge/server_poll.h"
#include "edge/settings.h"
#include "edge/tail_store.h"

/* One node: the core, which makes the decisions, and its input and output on
   one main loop.  */

struct node
{
  struct settings settings;         /* settings of the process */
  struct core core;                 /* decision logic */
  GMainLoop *loop;                  /* main loop of the process */
  struct proxy proxy;               /* data path */
  struct log_client log;            /* client of the log service */
  struct tail_store recent_records; /* last records read, for other nodes */
  struct peer_reader peer_log;      /* reads records from a peer */
  struct server_poll server_poll;   /* polls the local server's load */
  GByteArray *snapshot;             /* view as last encoded for the log, or
                                       NULL */
  GByteArray *peer_snapshot;        /* view as last encoded for a peer, or
                                       NULL */
  guint64 peer_snapshot_offset;     /* applied offset of peer_snapshot */
  struct view decoded_view;         /* view of the last decoded snapshot */
  GQueue *deferred_events;          /* struct event: arose while another was
                                       handled */
  gboolean is_processing;           /* an event is being handled */
  guint tick_timer;                 /* source id of the timer, 0: none */
  struct quiet_turn quiet_turn;     /* tick that no input follows */
  gboolean should_restart;          /* restart as a new incarnation on exit */
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
void admin_handle (struct node *node, const struct http_server_event *event,
                   const char *path, GHashTable *query);

#endif
