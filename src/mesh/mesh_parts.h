#ifndef BAMBOOTALLY_MESH_PARTS_H
#define BAMBOOTALLY_MESH_PARTS_H

#include "mesh/mesh.h"
#include "mesh/mesh_receiver.h"
#include "shard/shard_reconcile.h"

/* The parts of struct mesh's decisions, for each other.  */

/* A node that is asked to stop goes on for so long: callers learn only by and
   by that it is not ready.  Then its server gets no more from it.  */
#define MESH_STOP_SERVE_USEC ((gint64)2600000)

/* Then callers that come all the same are sent away for as long as a process
   takes to start again.  */
#define MESH_STOP_REFUSE_USEC ((gint64)2900000)
/* What comes after the stop was asked for ends so long before the process is
   killed.  */
#define MESH_KILL_MARGIN_USEC ((gint64)800000)
#define MESH_RESTART_USEC ((gint64)800000)

/* Notes, mesh_log.c.  */
struct log_event *mesh_log (struct actions *out, enum log_event_id id,
                            const char *subject, const char *format, ...)
    G_GNUC_PRINTF (4, 5);

gint64 mesh_age_msec (gint64 then, gint64 now);

/* Requests that enter here, mesh_route.c.  */
void mesh_route_arrived (struct mesh *mesh, const struct event_request *event,
                         gint64 now, struct actions *out);
void mesh_route_request (struct mesh *mesh, struct handle exchange, gint64 now,
                         struct actions *out);
void mesh_route_waiting (struct mesh *mesh, gboolean all, gint64 now,
                         struct actions *out);

gboolean mesh_spend_retry (struct mesh *mesh,
                           const struct mesh_request *mesh_request);

/* Where a request goes, mesh_pick.c.  */
struct mesh_pick
{
  struct handle member; /* member that is to have it, none if there is none */
  gboolean is_local;    /* that is this node */
  enum reason reason;   /* why there is none */
  gint64 wait_usec;     /* it may be there after so long, 0: not known */
};
struct mesh_pick mesh_pick (struct mesh *mesh,
                            const struct mesh_request *mesh_request,
                            gint64 now);

/* Admission to the server here, mesh_admit.c.  */
gboolean mesh_is_sharded (const struct mesh *mesh, const char *service);
gboolean mesh_is_quiesced (const struct mesh *mesh, gint64 now);
void mesh_admit (struct mesh *mesh, struct handle exchange, gint64 now,
                 struct actions *out);
void mesh_admit_queued (struct mesh *mesh, gint64 now, struct actions *out);

/* Ends of runs at the server here, mesh_run_end.c.  */
void mesh_run_ended (struct mesh *mesh,
                     const struct mesh_request *mesh_request,
                     const struct event_attempt_ended *event, gint64 now,
                     struct actions *out);
void mesh_server_crashed (struct mesh *mesh, gint64 now, struct actions *out);

/* Ends of requests, mesh_end.c.  */
const char *mesh_member_name (struct mesh *mesh, struct handle h);
void mesh_remove_request (struct mesh *mesh, struct handle exchange,
                          enum outcome outcome, enum reason reason, gint64 now,
                          struct actions *out);
void mesh_answer (struct mesh *mesh, struct handle exchange,
                  enum outcome outcome, enum reason reason, gint64 retry_usec,
                  gint64 now, struct actions *out);
void mesh_attempt_ended (struct mesh *mesh,
                         const struct event_attempt_ended *event, gint64 now,
                         struct actions *out);
void mesh_disconnected (struct mesh *mesh, struct handle exchange, gint64 now,
                        struct actions *out);
void mesh_refuse (struct mesh *mesh, struct handle exchange,
                  enum reason reason, gint64 retry_usec, gint64 now,
                  struct actions *out);
void mesh_expire_requests (struct mesh *mesh, gint64 now, struct actions *out);

/* Other tries, mesh_retry.c.  */
void mesh_attempt_not_run (struct mesh *mesh, struct handle exchange,
                           const struct event_attempt_ended *event, gint64 now,
                           struct actions *out);
void mesh_attempt_unknown (struct mesh *mesh, struct handle exchange,
                           const struct event_attempt_ended *event, gint64 now,
                           struct actions *out);
void mesh_attempt_done (struct mesh *mesh, struct handle exchange,
                        const struct event_attempt_ended *event, gint64 now,
                        struct actions *out);
void mesh_reject_here (struct mesh *mesh, struct handle exchange,
                       enum reason reason, guint32 retry_msec, gint64 now,
                       struct actions *out);

/* The server's beats, mesh_heartbeat.c.  */
void mesh_heartbeat (struct mesh *mesh, const struct event_heartbeat *event,
                     gint64 now, struct actions *out);
void mesh_deregister (struct mesh *mesh, const struct event_deregister *event,
                      gint64 now, struct actions *out);

/* The store, mesh_store.c.  */
void mesh_apply_records (struct mesh *mesh,
                         const struct event_fleet_records *event, gint64 now,
                         struct actions *out);
void mesh_append_ended (struct mesh *mesh,
                        const struct event_store_appended *event, gint64 now,
                        struct actions *out);
void mesh_propose (struct mesh *mesh, struct fleet_record *record, guint64 at,
                   gint64 now, struct actions *out);
void mesh_session_step (struct mesh *mesh, gint64 now, struct actions *out);

/* What may stand in the store, mesh_unconfirmed.c.  */
void mesh_unconfirmed_clear (gpointer data);
void mesh_unconfirmed_add (struct mesh *mesh, const struct shard_map *map,
                           guint64 at);
void mesh_unconfirmed_resolve (struct mesh *mesh);
struct shard_map mesh_unconfirmed_exclude (const struct mesh *mesh,
                                           const struct shard_map *map);

/* Keys that are to go to other nodes, mesh_handoff.c.  */
void mesh_handoff_add (struct mesh *mesh, guint32 first, guint32 last,
                       const char *next, gint64 now);
gboolean mesh_is_handed_off (const struct mesh *mesh, guint32 key);
void mesh_handoffs_apply (struct mesh *mesh, struct shard_map *map,
                          const GArray *holders, gint64 now);

/* Who may take keys, mesh_candidates.c.  */
GArray *mesh_candidates (struct mesh *mesh, const char *service, gint64 now);

/* What this node proposes, mesh_plan.c.  */
void mesh_plan_step (struct mesh *mesh, gint64 now, struct actions *out);

/* Balance of the keys, mesh_balance.c and mesh_receiver.c.  Beyond
   MESH_BUSY_PERMILLE of what a server can do requests come to wait.  */
#define MESH_BUSY_PERMILLE 500
guint32 mesh_demand (const struct mesh *mesh);
void mesh_balance (struct mesh *mesh, const struct shard_map *map,
                   const GArray *holders, gint64 now, struct actions *out);
gint64 mesh_request_cost (gint64 run_usec, gint64 demand, guint32 failing);
gint64 mesh_demand_per_rate (const struct load_report *load,
                             gint64 run_otherwise);
gint64 mesh_receiver_cost (const struct mesh_receiver *taker, gint64 run,
                           guint32 rate);
struct mesh_receiver mesh_receiver_choose (struct mesh *mesh,
                                           const GArray *holders,
                                           const struct shard_map *map,
                                           gboolean all, gint64 run,
                                           guint32 rate, gint64 now);

/* What nodes tell of others, mesh_news.c.  */
void mesh_report_mark (struct peer_state *peer_state, gint64 now);
void mesh_report_fill (struct mesh *mesh, struct gossip *gossip, gint64 now);
void mesh_report_apply (struct mesh *mesh, const struct gossip *gossip,
                        gint64 now);

/* Other nodes, mesh_pulse.c and mesh_watch.c.  */
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
