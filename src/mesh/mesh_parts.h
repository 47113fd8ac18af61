#ifndef BAMBOOTALLY_MESH_PARTS_H
#define BAMBOOTALLY_MESH_PARTS_H

#include "mesh/mesh.h"
#include "mesh/mesh_taker.h"
#include "shard/shard_duty.h"

/* The parts of struct mesh's decisions, for each other.  */

/* A node that is asked to stop goes on for so long: callers learn only by and
   by that it is not ready.  Then its server gets no more from it.  */
#define MESH_LINGER_USEC ((gint64)2600000)

/* Then callers that come all the same are sent away for as long as a process
   takes to start again.  */
#define MESH_TURN_AWAY_USEC ((gint64)2900000)
/* What comes after the stop was asked for ends so long before the process is
   killed.  */
#define MESH_END_MARGIN_USEC ((gint64)800000)
#define MESH_RESTART_USEC ((gint64)800000)

/* Notes, mesh_note.c.  */
struct note *mesh_note (struct actions *out, enum note_id id,
                        const char *subject, const char *format, ...)
    G_GNUC_PRINTF (4, 5);

gint64 mesh_age_msec (gint64 then, gint64 now);

/* Requests that enter here, mesh_route.c.  */
void mesh_route_begin (struct mesh *mesh, const struct event_request *event,
                       gint64 now, struct actions *out);
void mesh_route_again (struct mesh *mesh, struct handle exchange, gint64 now,
                       struct actions *out);
void mesh_route_waiting (struct mesh *mesh, gboolean all, gint64 now,
                         struct actions *out);

gboolean mesh_pay_retry (struct mesh *mesh, const struct transit *transit);

/* Where a request goes, mesh_pick.c.  */
struct mesh_pick
{
  struct handle member; /* member that is to have it, none if there is none */
  gboolean here;        /* that is this node */
  enum reason reason;   /* why there is none */
  gint64 wait_usec;     /* it may be there after so long, 0: not known */
};
struct mesh_pick mesh_pick (struct mesh *mesh, const struct transit *transit,
                            gint64 now);

/* Admission to the server here, mesh_admit.c.  */
gboolean mesh_is_divided (const struct mesh *mesh, const char *service);
gboolean mesh_is_closing (const struct mesh *mesh, gint64 now);
void mesh_admit (struct mesh *mesh, struct handle exchange, gint64 now,
                 struct actions *out);
void mesh_admit_next (struct mesh *mesh, gint64 now, struct actions *out);

/* Ends of runs at the server here, mesh_run_end.c.  */
void mesh_admit_ended (struct mesh *mesh, const struct transit *transit,
                       const struct event_ended *event, gint64 now,
                       struct actions *out);
void mesh_crashed (struct mesh *mesh, gint64 now, struct actions *out);

/* Ends of requests, mesh_end.c.  */
const char *mesh_member_name (struct mesh *mesh, struct handle h);
void mesh_forget (struct mesh *mesh, struct handle exchange,
                  enum outcome outcome, enum reason reason, gint64 now,
                  struct actions *out);
void mesh_answer (struct mesh *mesh, struct handle exchange,
                  enum outcome outcome, enum reason reason, gint64 retry_usec,
                  gint64 now, struct actions *out);
void mesh_ended (struct mesh *mesh, const struct event_ended *event,
                 gint64 now, struct actions *out);
void mesh_gone (struct mesh *mesh, struct handle exchange, gint64 now,
                struct actions *out);
void mesh_refuse (struct mesh *mesh, struct handle exchange,
                  enum reason reason, gint64 retry_usec, gint64 now,
                  struct actions *out);
void mesh_expire (struct mesh *mesh, gint64 now, struct actions *out);

/* Other tries, mesh_retry.c.  */
void mesh_not_run (struct mesh *mesh, struct handle exchange,
                   const struct event_ended *event, gint64 now,
                   struct actions *out);
void mesh_unknown (struct mesh *mesh, struct handle exchange,
                   const struct event_ended *event, gint64 now,
                   struct actions *out);
void mesh_done (struct mesh *mesh, struct handle exchange,
                const struct event_ended *event, gint64 now,
                struct actions *out);
void mesh_failed_here (struct mesh *mesh, struct handle exchange,
                       enum reason reason, guint32 retry_msec, gint64 now,
                       struct actions *out);

/* The server's beats, mesh_beat.c.  */
void mesh_beat (struct mesh *mesh, const struct event_beat *event, gint64 now,
                struct actions *out);
void mesh_beat_end (struct mesh *mesh, const struct event_beat_end *event,
                    gint64 now, struct actions *out);

/* The store, mesh_store.c.  */
void mesh_fold (struct mesh *mesh, const struct event_fleet *event, gint64 now,
                struct actions *out);
void mesh_stored (struct mesh *mesh, const struct event_stored *event,
                  gint64 now, struct actions *out);
void mesh_propose (struct mesh *mesh, struct fleet_record *record, guint64 at,
                   gint64 now, struct actions *out);
void mesh_session_step (struct mesh *mesh, gint64 now, struct actions *out);

/* What may stand in the store, mesh_doubt.c.  */
void mesh_doubt_clear (gpointer data);
void mesh_doubt_add (struct mesh *mesh, const struct shard_map *map,
                     guint64 at);
void mesh_doubt_settle (struct mesh *mesh);
struct shard_map mesh_doubt_apply (const struct mesh *mesh,
                                   const struct shard_map *map);

/* Keys that are to go to other nodes, mesh_offer.c.  */
void mesh_offer_add (struct mesh *mesh, guint32 first, guint32 last,
                     const char *next, gint64 now);
gboolean mesh_is_offered (const struct mesh *mesh, guint32 key);
void mesh_offers_apply (struct mesh *mesh, struct shard_map *map,
                        const GArray *holders, gint64 now);

/* Who may take keys, mesh_holders.c.  */
GArray *mesh_holders (struct mesh *mesh, const char *service, gint64 now);

/* What this node proposes, mesh_plan.c.  */
void mesh_plan_step (struct mesh *mesh, gint64 now, struct actions *out);

/* Balance of the keys, mesh_balance.c and mesh_taker.c.  Beyond
   MESH_BUSY_PERMILLE of what a server can do requests come to wait.  */
#define MESH_BUSY_PERMILLE 500
guint32 mesh_demand (const struct mesh *mesh);
void mesh_balance (struct mesh *mesh, const struct shard_map *map,
                   const GArray *holders, gint64 now, struct actions *out);
gint64 mesh_key_cost (gint64 run_usec, gint64 demand, guint32 failing);
gint64 mesh_rate_price (const struct load_report *load, gint64 run_otherwise);
gint64 mesh_taker_cost (const struct mesh_taker *taker, gint64 run,
                        guint32 rate);
struct mesh_taker mesh_taker_draw (struct mesh *mesh, const GArray *holders,
                                   const struct shard_map *map, gboolean all,
                                   gint64 run, guint32 rate, gint64 now);

/* What nodes tell of others, mesh_news.c.  */
void mesh_news_tell (struct upstream *upstream, gint64 now);
void mesh_news_fill (struct mesh *mesh, struct pulse *pulse, gint64 now);
void mesh_news_take (struct mesh *mesh, const struct pulse *pulse, gint64 now);

/* Other nodes, mesh_pulse.c and mesh_watch.c.  */
void mesh_pulse_step (struct mesh *mesh, gint64 now, struct actions *out);
void mesh_take_call (struct mesh *mesh, const struct event_mesh_call *event,
                     gint64 now, struct actions *out);
void mesh_take_reply (struct mesh *mesh, const struct event_mesh_reply *event,
                      gint64 now, struct actions *out);
void mesh_watch_step (struct mesh *mesh, gint64 now, struct actions *out);
void mesh_watch_vouch (struct mesh *mesh, const struct shard_map *record,
                       gint64 now);
gboolean mesh_is_lost (struct mesh *mesh, struct handle member, gint64 now);
guint32 mesh_rank (struct mesh *mesh, gint64 now);

#endif
