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
  struct mesh_config config;       /* its settings */
  const char *file;                /* where they stand */
  gint64 file_changed;             /* when that was last changed */
  gint64 file_looked;              /* when that was last looked at */
  struct mesh mesh;                /* its decisions */
  GMainLoop *loop;                 /* the one loop */
  struct proxy proxy;              /* requests on their way */
  SoupServer *front;               /* callers */
  struct control_api calls;        /* the platform's calls */
  struct store store;              /* the platform's store */
  struct topic_reader fleet_feed;  /* the fleet's topic */
  struct topic_reader config_feed; /* the operator's topic */
  GByteArray *config_bytes;        /* the configuration in the store's words */
  struct latency took;             /* requests that entered here */
  struct latency ran;              /* requests at the server here */
  struct latency queued; /* requests that ran here, until they began */
  guint64 runs_failed;   /* runs at the server without a good answer */
  GHashTable *notes;     /* number of an event to how often it came */
  GQueue *later;         /* events that came during another */
  gboolean feeding;      /* an event is being taken in */
  guint tick;            /* the timer */
};

enum err mesh_node_init (struct mesh_node *node,
                         const struct mesh_config *config, const char *file);
void mesh_node_clear (struct mesh_node *node);
void mesh_node_feed (struct mesh_node *node, const struct event *event);
void mesh_node_do (struct mesh_node *node, const struct action *action);
gint64 mesh_node_file_time (const char *file);
void mesh_node_look_at_file (struct mesh_node *node, gint64 now);
void mesh_node_reload (struct mesh_node *node);
enum err mesh_front_init (struct mesh_node *node);
void mesh_node_on_link (const struct link_event *event, gpointer data);
void mesh_node_on_fleet (const struct topic_reader_event *event,
                         gpointer data);
void mesh_node_on_config (const struct topic_reader_event *event,
                          gpointer data);
char *mesh_node_metrics (gpointer data);
void mesh_node_note (struct mesh_node *node,
                     const struct log_event *log_event);

#endif
