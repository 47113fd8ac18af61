#ifndef BAMBOOTALLY_MESH_NODE_H
#define BAMBOOTALLY_MESH_NODE_H

#include "edge/latency.h"
#include "edge/mesh_config.h"
#include "edge/proxy.h"
#include "mesh/mesh.h"
#include "platform/control_api.h"
#include "platform/topic_reader.h"
#include "platform/store.h"

/* One node of a mesh: its decisions and its edges on one loop.  */

struct mesh_node
{
  struct mesh_config config;         /* its settings */
  const char *settings_file;         /* where they stand */
  gint64 settings_modified_at;       /* when that was last changed */
  gint64 settings_checked_at;        /* when that was last looked at */
  struct mesh mesh;                  /* its decisions */
  GMainLoop *loop;                   /* the one loop */
  struct proxy proxy;                /* requests on their way */
  SoupServer *front;                 /* callers */
  struct control_api control_api;    /* the platform's calls */
  struct store store;                /* the platform's store */
  struct topic_reader fleet_reader;  /* the fleet's topic */
  struct topic_reader config_reader; /* the operator's topic */
  GByteArray *config_bytes;       /* the configuration in the store's words */
  struct latency request_latency; /* requests that entered here */
  struct latency server_latency;  /* requests at the server here */
  struct latency queue_latency; /* requests that ran here, until they began */
  guint64 failed_server_runs;   /* runs at the server without a good answer */
  GHashTable *log_event_counts; /* number of an event to how often it came */
  GQueue *deferred_events;      /* events that came during another */
  gboolean is_processing;       /* an event is being taken in */
  guint tick_timer;             /* the timer */
};

enum err mesh_node_init (struct mesh_node *node,
                         const struct mesh_config *config, const char *file);
void mesh_node_clear (struct mesh_node *node);
void mesh_node_handle_event (struct mesh_node *node,
                             const struct event *event);
void mesh_node_perform (struct mesh_node *node, const struct action *action);
gint64 mesh_node_file_mtime (const char *file);
void mesh_node_check_file (struct mesh_node *node, gint64 now);
void mesh_node_reload (struct mesh_node *node);
enum err mesh_front_init (struct mesh_node *node);
void mesh_node_on_link (const struct link_event *event, gpointer data);
void mesh_node_on_fleet (const struct topic_reader_event *event,
                         gpointer data);
void mesh_node_on_config (const struct topic_reader_event *event,
                          gpointer data);
char *mesh_node_metrics (gpointer data);
void mesh_node_log (struct mesh_node *node, const struct log_event *log_event);

#endif
