#ifndef BAMBOOTALLY_MESH_NODE_H
#define BAMBOOTALLY_MESH_NODE_H

#include "edge/latency.h"
#include "edge/mesh_config.h"
#include "edge/proxy.h"
#include "edge/quiet_turn.h"
#include "mesh/mesh.h"
#include "platform/control_api.h"
#include "platform/key_orders.h"
#include "platform/topic_reader.h"
#include "platform/store.h"

/* One node of a mesh: its decision logic and its input and output on one main
   loop.  */

struct mesh_node
{
  struct mesh_config config;         /* settings of the process */
  const char *settings_file;         /* path of the settings file */
  gint64 settings_modified_at;       /* modification time of the file as last
                                        read, usec since the epoch */
  gint64 settings_checked_at;        /* when the file was last checked,
                                        monotonic usec */
  struct mesh mesh;                  /* decision logic */
  GMainLoop *loop;                   /* main loop of the process */
  struct proxy proxy;                /* data path */
  struct control_api control_api;    /* heartbeats, readiness and metrics */
  struct key_orders key_orders;      /* grants and releases of keys */
  struct store store;                /* client of the platform's store */
  struct topic_reader fleet_reader;  /* reads the fleet topic */
  struct topic_reader config_reader; /* reads the configuration topic */
  gboolean config_skipped;     /* the newest configuration in the store is
                                  malformed */
  GArray *listed_evacuations;  /* struct evacuation, of the listing under
                                  way */
  GByteArray *config_bytes;    /* configuration as encoded in the store */
  GByteArray *config_deflated; /* the same compressed, NULL: not needed yet, or
                                  no shorter */
  guint64 oversize_configs;    /* fetches that got no configuration since it is
                                  too long for a reply */
  /* latency of requests received from callers */
  struct latency request_latency;
  struct latency server_latency; /* duration of runs at the local server */
  struct latency queue_latency;  /* time from the arrival of a request to the
                                    start of its run */
  struct latency tick_latency;   /* time between ticks; more than TICK_MSEC
                                    where the loop lags */
  guint64 oversize_records;     /* records that were too large for the store */
  guint64 failed_server_runs;   /* runs that ended with an unknown outcome
                                   or a 5xx status */
  GHashTable *log_event_counts; /* counts by enum log_event_id */
  GQueue *deferred_events;      /* struct event: arose while another was
                                   handled */
  gboolean is_processing;       /* an event is being handled */
  gboolean memory_short;        /* the log has told that a limit is reached */
  guint tick_timer;             /* source id of the timer, 0: none */
  struct quiet_turn quiet_turn; /* tick that no input follows */
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
gboolean mesh_node_reads_fleet (gpointer data);
gboolean mesh_node_reads_config (gpointer data);
void mesh_node_tick_start (struct mesh_node *node);
void mesh_node_tick_stop (struct mesh_node *node);
enum err mesh_front_init (struct mesh_node *node);
void mesh_node_on_link (const struct link_event *event, gpointer data);
void mesh_node_on_fleet (const struct topic_reader_event *event,
                         gpointer data);
gboolean mesh_node_apply_config (struct mesh_node *node, const guint8 *bytes,
                                 gsize length, guint64 version);
void mesh_node_fill_config (struct mesh_node *node,
                            struct mesh_fetch_reply *reply,
                            gboolean accepts_deflate);
gboolean mesh_node_take_config (struct mesh_node *node,
                                const struct mesh_fetch_reply *fetch);
void mesh_node_on_config (const struct topic_reader_event *event,
                          gpointer data);
void mesh_node_watch_memory (struct mesh_node *node);
char *mesh_node_metrics (gpointer data);
char *mesh_node_explain (const char *query, gpointer data);
void mesh_node_log (struct mesh_node *node, const struct log_event *log_event);

#endif
