#ifndef BAMBOOTALLY_MESH_REQUEST_PARTS_H
#define BAMBOOTALLY_MESH_REQUEST_PARTS_H

#include "mesh/mesh.h"
#include "mesh/mesh_obstacle.h"

/* Functions that the source files of this module share: the way of a request
   from its arrival to its end.  */

/* Requests that enter at this node, mesh_route.c.  */
void mesh_route_arrived (struct mesh *mesh, const struct event_request *event,
                         gint64 now, struct actions *out);
void mesh_route_apply (const struct mesh *mesh, struct mesh_request *request,
                       struct route *route);
void mesh_route_request (struct mesh *mesh, struct handle exchange, gint64 now,
                         struct actions *out);
void mesh_route_waiting (struct mesh *mesh, gboolean all, gint64 now,
                         struct actions *out);

/* Calls of requests that run at the local backend server, mesh_call.c.  */
void mesh_call_recognise (struct mesh *mesh, struct mesh_request *request,
                          gint64 now);
void mesh_call_add_parent (struct mesh *mesh, struct handle exchange);

/* Requests that no server can start in time, mesh_prospect.c.  */
gboolean mesh_prospect_refuse (struct mesh *mesh, struct handle exchange,
                               struct handle member, gint64 now,
                               struct actions *out);

/* Requests that crash servers, mesh_crash_report.c, mesh_suspect.c and
   mesh_quarantine.c.  */
void mesh_quarantine_on_server_ended (struct mesh *mesh, gint64 now);
void mesh_quarantine_on_lost (struct mesh *mesh,
                              const struct mesh_request *request, gint64 now);
void mesh_quarantine_on_completed (struct mesh *mesh,
                                   const struct mesh_request *request,
                                   gint64 now);
void mesh_quarantine_step (struct mesh *mesh, gint64 now);
void mesh_quarantine_on_record (struct mesh *mesh,
                                const struct fleet_entry *entry);
void mesh_quarantine_on_proposed (struct mesh *mesh, guint64 offset);
gboolean mesh_quarantine_propose_crash (struct mesh *mesh, gint64 now,
                                        struct actions *out);
gboolean mesh_quarantine_propose_own (struct mesh *mesh, gint64 now,
                                      struct actions *out);
gboolean mesh_quarantine_propose_common (struct mesh *mesh, gint64 now,
                                         struct actions *out);
void mesh_quarantine_on_body (struct mesh *mesh, struct handle exchange,
                              gint64 now, struct actions *out);
gboolean mesh_quarantine_stops (struct mesh *mesh, struct handle exchange,
                                gint64 now, struct actions *out);

/* Budgets of retries, mesh_retry_budget.c.  */
void mesh_add_retry (struct mesh *mesh, const char *service);
gboolean mesh_spend_retry (struct mesh *mesh,
                           const struct mesh_request *request);

/* The node that a request is sent to, mesh_pick.c.  */
struct mesh_comparison;
struct mesh_pick
{
  struct handle member; /* member to send to, HANDLE_NONE: there is none */
  gboolean is_local;    /* the member is this node */
  enum reason reason;   /* why there is no member */
  gint64 wait_usec; /* time after which there may be a member, 0: not known */
  guint compared;   /* servers that were compared, 0: a key decided */
  gint64 cost_usec; /* cost at the member, by which it was chosen */
  gint64 busy_permille; /* share of the service's slots that is known to be
                           taken */
};
struct mesh_pick mesh_pick (struct mesh *mesh,
                            const struct mesh_request *request, gint64 now);
enum mesh_obstacle mesh_pick_link_obstacle (struct mesh *mesh,
                                            const struct fleet_member *member,
                                            struct handle h, gint64 now);
enum mesh_obstacle mesh_pick_obstacle (struct mesh *mesh,
                                       const struct fleet_member *member,
                                       struct handle h, gint64 now);
void mesh_pick_compare (struct mesh *mesh, const struct mesh_request *request,
                        guint64 seed, gint64 now,
                        struct mesh_comparison *comparison);

/* The service of the local backend server, mesh_service.c.  */
gboolean mesh_serves (const struct mesh *mesh,
                      const struct mesh_request *request);
void mesh_set_service (struct mesh *mesh, const char *service, gint64 now,
                       struct actions *out);

/* Admission to the local backend server, mesh_admit.c.  */
gboolean mesh_is_sharded (const struct mesh *mesh, const char *service);
enum reason mesh_admit_check (const struct mesh *mesh,
                              const struct mesh_request *request, gint64 now,
                              gboolean *awaits_grant);
void mesh_admit (struct mesh *mesh, struct handle exchange, gint64 now,
                 struct actions *out);
void mesh_admit_queued (struct mesh *mesh, gint64 now, struct actions *out);

/* The end of an attempt at the local backend server, mesh_run_end.c.  */
void mesh_run_ended (struct mesh *mesh, const struct mesh_request *request,
                     const struct event_attempt_ended *event, gint64 now,
                     struct actions *out);
void mesh_server_crashed (struct mesh *mesh, gint64 now, struct actions *out);
void mesh_check_server_gone (struct mesh *mesh, enum reason reason, gint64 now,
                             struct actions *out);

/* What the local backend server says of itself, mesh_notice.c.  */
void mesh_on_notice (struct mesh *mesh, const struct server_notice *notice,
                     gint64 now, struct actions *out);
void mesh_on_server_load (struct mesh *mesh,
                          const struct event_server_load *load, gint64 now);
void mesh_slowdown_step (struct mesh *mesh, gint64 now);

/* The warm-up of the local backend server, mesh_warmup.c.  */
void mesh_warmup_step (struct mesh *mesh, gint64 now, struct actions *out);
void mesh_warmup_on_heartbeat (struct mesh *mesh, gint64 warmup_usec,
                               gint64 now, struct actions *out);
void mesh_warmup_presume_cold (struct mesh *mesh, gint64 now,
                               struct actions *out);

/* Evacuated data centres, mesh_evacuation.c and mesh_evacuation_keys.c.  */
gboolean mesh_is_evacuated (const struct mesh *mesh,
                            const struct fleet_member *member);
gboolean mesh_evacuation_is_local (const struct mesh *mesh);
gboolean mesh_evacuation_serves_keys (const struct mesh *mesh,
                                      const struct fleet_member *member,
                                      gint64 now);
enum reason mesh_evacuation_refusal (const struct mesh *mesh,
                                     const struct mesh_request *request,
                                     gint64 now);
guint32 mesh_evacuation_retry_msec (enum reason reason);
struct mesh_pick mesh_evacuation_check_pick (const struct mesh *mesh,
                                             const char *service,
                                             struct mesh_pick pick);
gint64 mesh_evacuation_release_time (const struct mesh *mesh, gint64 now);
gboolean mesh_evacuation_releases_keys (const struct mesh *mesh, gint64 now);
void mesh_evacuation_on_records (struct mesh *mesh,
                                 const struct event_evacuations *event,
                                 gint64 now, struct actions *out);
void mesh_evacuation_on_gossip (struct mesh *mesh, const struct gossip *gossip,
                                gint64 now, struct actions *out);
gboolean mesh_evacuation_is_confirmed_by (const struct mesh *mesh,
                                          const struct gossip *gossip);
void mesh_evacuation_step (struct mesh *mesh, gint64 now, struct actions *out);
void mesh_evacuation_on_tick (struct mesh *mesh, gint64 now);

/* The end of requests, mesh_end.c.  */
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
void mesh_body_ended (struct mesh *mesh, const struct event_body_ended *event,
                      gint64 now, struct actions *out);
void mesh_disconnected (struct mesh *mesh, struct handle exchange, gint64 now,
                        struct actions *out);
void mesh_refuse (struct mesh *mesh, struct handle exchange,
                  enum reason reason, gint64 retry_usec, gint64 now,
                  struct actions *out);
void mesh_expire_requests (struct mesh *mesh, gint64 now, struct actions *out);

/* Retries, mesh_retry.c.  */
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

#endif
