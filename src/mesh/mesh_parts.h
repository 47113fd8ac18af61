#ifndef BAMBOOTALLY_MESH_PARTS_H
#define BAMBOOTALLY_MESH_PARTS_H

#include "mesh/mesh.h"
#include "mesh/mesh_receiver.h"
#include "mesh/mesh_request_parts.h"
#include "shard/shard_reconcile.h"

/* Functions that the source files of this module share.  */

/* A tick that is later than this shows that the node lags.  */
#define MESH_LAG_USEC ((gint64)250000)

/* An attempt is not made with less time left than this: the answer would come
   too late for the caller.  */
#define MESH_ATTEMPT_MIN_USEC ((gint64)30000)

/* Time in which a process restarts.  */
#define MESH_RESTART_USEC ((gint64)800000)

/* Log events, mesh_log.c.  */
struct log_event *mesh_log (struct actions *out, enum log_event_id id,
                            const char *subject, const char *format, ...)
    G_GNUC_PRINTF (4, 5);

gint64 mesh_age_msec (gint64 then, gint64 now);

/* Heartbeats of the backend server, mesh_heartbeat.c.  */
void mesh_heartbeat (struct mesh *mesh, const struct event_heartbeat *event,
                     gint64 now, struct actions *out);
void mesh_deregister (struct mesh *mesh, const struct event_deregister *event,
                      gint64 now, struct actions *out);

/* Calls that grant the server keys, mesh_orders.c.  */
void mesh_orders_update (struct mesh *mesh, gint64 now, struct actions *out);
void mesh_orders_on_heartbeat (struct mesh *mesh, gint64 now,
                               struct actions *out);
void mesh_orders_step (struct mesh *mesh, gint64 now, struct actions *out);
void mesh_order_ended (struct mesh *mesh, const struct key_order_result *event,
                       gint64 now, struct actions *out);

/* The planned stop of the process, mesh_stop.c.  */
gint64 mesh_stop_deadline (const struct mesh *mesh, gint64 deadline);
gboolean mesh_stop_takes_request (const struct mesh *mesh,
                                  guint32 route_number, gint64 now);
gboolean mesh_stop_takes_run (const struct mesh *mesh, guint32 route_number,
                              gint64 now);
gboolean mesh_is_quiesced (const struct mesh *mesh, gint64 now);
void mesh_stop_begin (struct mesh *mesh, gint64 now, struct actions *out);
void mesh_stop_step (struct mesh *mesh, const struct event_tick *event,
                     gint64 now, struct actions *out);

/* Records that were read, mesh_records.c.  */
void mesh_apply_records (struct mesh *mesh,
                         const struct event_fleet_records *event, gint64 now,
                         struct actions *out);

/* Eras of the store, mesh_era.c.  */
void mesh_era_check (struct mesh *mesh,
                     const struct event_fleet_records *event, gint64 now,
                     struct actions *out);
void mesh_era_on_first_read (struct mesh *mesh, gint64 now);
gboolean mesh_era_is_settled (const struct mesh *mesh, gint64 now);
void mesh_era_copy_map (const struct mesh *mesh, struct shard_map *copy,
                        const struct shard_map *map);
gboolean mesh_era_propose (struct mesh *mesh, gboolean is_planner, gint64 now,
                           struct actions *out);
gboolean mesh_era_renew (const struct mesh *mesh, struct shard_map *map,
                         const GArray *candidates, gint64 now);
void mesh_era_exclude (const struct mesh *mesh, struct shard_map *map,
                       gint64 now);

/* The store, mesh_store.c.  */
void mesh_append_ended (struct mesh *mesh,
                        const struct event_store_appended *event, gint64 now,
                        struct actions *out);
void mesh_propose (struct mesh *mesh, struct fleet_record *record,
                   guint64 expected_end, gint64 now, struct actions *out);
void mesh_session_confirm (struct mesh *mesh, gint64 started_at,
                           guint64 source);
gint64 mesh_session_usec (const struct mesh *mesh, gint64 now);
void mesh_session_step (struct mesh *mesh, gint64 now, struct actions *out);
void mesh_store_answers (struct mesh *mesh, gboolean answers, gint64 now,
                         struct actions *out);

/* Proposed maps whose append has no known outcome, mesh_unconfirmed.c.  */
void mesh_unconfirmed_clear (gpointer data);
void mesh_unconfirmed_add (struct mesh *mesh, const struct shard_map *map,
                           guint64 offset);
void mesh_unconfirmed_resolve (struct mesh *mesh);
struct shard_map mesh_unconfirmed_exclude (const struct mesh *mesh,
                                           const struct shard_map *map);

/* Planned handoffs of keys to other nodes, mesh_handoff.c.  */
void mesh_handoff_add (struct mesh *mesh, guint32 first, guint32 last,
                       const char *new_owner, gint64 now);
gboolean mesh_is_handed_off (const struct mesh *mesh, guint32 key);
void mesh_handoffs_apply (struct mesh *mesh, struct shard_map *map,
                          const GArray *candidates, gint64 now);

struct shard_map mesh_grantable_map (struct mesh *mesh,
                                     const struct shard_map *map,
                                     const GArray *candidates, gint64 now);

/* The nodes whose servers may be given keys, mesh_candidates.c.  */
GArray *mesh_candidates (struct mesh *mesh, const char *service, gint64 now);

/* The records that this node proposes, mesh_plan.c and mesh_plan_self.c.  */
gboolean mesh_propose_self (struct mesh *mesh, gboolean always, gint64 now,
                            struct actions *out);
void mesh_plan_step (struct mesh *mesh, gint64 now, struct actions *out);

/* Balance of the load, mesh_balance.c, mesh_move_rate.c and mesh_receiver.c.
   Requests start to queue at a server whose demand is above MESH_BUSY_PERMILLE
   of its capacity.  */
#define MESH_BUSY_PERMILLE 500
/* A server whose demand is above this moves several ranges at once.  */
#define MESH_OVERLOAD_PERMILLE 1000u
/* Least rate that is worth a move, requests per second.  */
#define MESH_MIN_MOVE_RATE 3u
guint32 mesh_demand (const struct mesh *mesh);
guint32 mesh_mean_own_demand (const struct mesh *mesh);
void mesh_balance (struct mesh *mesh, const struct shard_map *map,
                   const GArray *candidates, gint64 now, struct actions *out);
guint32 mesh_rate_to_move (const struct mesh *mesh,
                           const struct mesh_receiver *receiver,
                           const struct load_report *load, gint64 mean_demand);
gint64 mesh_mean_demand (struct mesh *mesh, const GArray *candidates,
                         gint64 now);
gint64 mesh_request_cost (gint64 run_usec, gint64 demand, guint32 failing);
gint64 mesh_demand_per_rate (const struct load_report *load,
                             gint64 default_run_usec);
gint64 mesh_receiver_cost (const struct mesh_receiver *receiver,
                           gint64 default_run_usec, guint32 rate);
gint64 mesh_weighted_demand (gint64 demand, guint32 failing);
struct mesh_receiver mesh_receiver_of_range (struct mesh *mesh,
                                             const GArray *candidates,
                                             const struct shard_map *map,
                                             gint64 mean_demand, gint64 now);
struct mesh_receiver mesh_receiver_of_key (struct mesh *mesh,
                                           const GArray *candidates,
                                           const struct shard_map *map,
                                           gint64 default_run_usec,
                                           guint32 rate, gint64 now);

/* Reports on other nodes within gossip messages, mesh_report.c.  */
void mesh_report_mark (struct peer_state *peer, gint64 now);
void mesh_report_fill (struct mesh *mesh, struct gossip *gossip, gint64 now);
struct handle mesh_peer_of (struct mesh *mesh, guint64 incarnation);
void mesh_report_apply (struct mesh *mesh, const struct gossip *gossip,
                        gint64 now);

/* The configuration in force, mesh_routing.c.  */
guint64 mesh_routing_version (const struct mesh *mesh);
gint64 mesh_routing_age_usec (const struct mesh *mesh, gint64 now);
gboolean mesh_routing_is_outdated (const struct mesh *mesh);
gboolean mesh_routing_is_recent (const struct mesh *mesh, gint64 now);
void mesh_routing_check (struct mesh *mesh, gint64 now);
struct routing *mesh_routing_usable (const struct mesh *mesh);
const char *mesh_process_name (struct mesh *mesh, guint64 process);
const char *mesh_routing_source (struct mesh *mesh);
void mesh_routing_apply (struct mesh *mesh, const struct event_routing *event,
                         gint64 now, struct actions *out);
void mesh_routing_on_gossip (struct mesh *mesh, const struct gossip *gossip,
                             gint64 sent_at);

/* Configurations newer than the one in force, mesh_newest_config.c.  */
void mesh_newest_heard (struct mesh *mesh, guint64 version, guint64 source,
                        gint64 now);
void mesh_newest_applied (struct mesh *mesh, gint64 now, struct actions *out);
void mesh_newest_confirmed (struct mesh *mesh, gint64 started_at, gint64 now,
                            struct actions *out);
void mesh_newest_step (struct mesh *mesh, gint64 now, struct actions *out);
gint64 mesh_behind_msec (const struct mesh *mesh, gint64 now);

/* Reads of the topics, mesh_read.c.  */
gboolean mesh_read_leaves (const struct mesh *mesh, gint64 now);
void mesh_read_start (struct mesh *mesh, enum mesh_topic topic, gint64 now,
                      struct actions *out);
void mesh_read_ended (struct mesh *mesh, const struct event_topic_read *event,
                      gint64 now, struct actions *out);
void mesh_read_step (struct mesh *mesh, gint64 now, struct actions *out);

/* The duties of reading a topic for all nodes, mesh_duty.c.  */
gboolean mesh_duty_is_held (struct mesh *mesh, enum reading_slot slot,
                            gint64 now);
gboolean mesh_duty_holds (const struct mesh *mesh, enum reading_slot slot,
                          gint64 now);
gboolean mesh_duty_holds_topic (const struct mesh *mesh, enum mesh_topic topic,
                                gint64 now);
gint64 mesh_duty_try_delay (struct mesh *mesh, enum reading_slot slot,
                            gint64 now);
gboolean mesh_duty_may_take (struct mesh *mesh, enum reading_slot slot,
                             gint64 now);
void mesh_duty_renew (struct mesh *mesh, enum mesh_topic topic, gint64 now);
void mesh_duty_give_up (struct mesh *mesh, enum mesh_topic topic);
void mesh_duty_leave (struct mesh *mesh);
void mesh_duty_fill_gossip (const struct mesh *mesh, struct gossip *gossip,
                            gint64 now);
void mesh_duty_on_gossip (struct mesh *mesh, const struct gossip *gossip,
                          gint64 now);
void mesh_duty_step (struct mesh *mesh, gint64 now, struct actions *out);

/* Calls to other nodes, and the fetch of what they have read, mesh_fetch.c. */
struct action_mesh_call *mesh_add_call (struct mesh *mesh, struct handle h,
                                        struct address to, gint64 deadline,
                                        struct actions *out);
void mesh_fetch (struct mesh *mesh, struct handle h, struct address from,
                 gint64 now, struct actions *out);
void mesh_fetch_if_behind (struct mesh *mesh, struct handle h,
                           struct address from, gint64 now,
                           struct actions *out);
const struct mesh_config_fetch *
mesh_latest_config_fetch (const struct mesh *mesh);
void mesh_fetch_ended (struct mesh *mesh, const struct event_mesh_reply *event,
                       gint64 now, struct actions *out);
void mesh_fetch_step (struct mesh *mesh, gint64 now, struct actions *out);

/* Gossip and detection of failed nodes, mesh_gossip.c and mesh_liveness.c.  */
void mesh_gossip_step (struct mesh *mesh, gint64 now, struct actions *out);
void mesh_on_call (struct mesh *mesh, const struct event_mesh_call *event,
                   gint64 now, struct actions *out);
void mesh_on_reply (struct mesh *mesh, const struct event_mesh_reply *event,
                    gint64 now, struct actions *out);
void mesh_liveness_step (struct mesh *mesh, gint64 now, struct actions *out);
void mesh_presume_alive (struct mesh *mesh, const struct shard_map *record,
                         gint64 now);
gboolean mesh_is_lost (struct mesh *mesh, struct handle member, gint64 now);
guint32 mesh_rank_by_name (struct mesh *mesh, gint64 now);

#endif
