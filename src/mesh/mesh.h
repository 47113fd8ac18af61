#ifndef BAMBOOTALLY_MESH_H
#define BAMBOOTALLY_MESH_H

#include "decide/admission.h"
#include "fleet/evacuations.h"
#include "fleet/fleet_state.h"
#include "fleet/freshness.h"
#include "fleet/read_attempt.h"
#include "fleet/reading_duty.h"
#include "fleet/ring.h"
#include "fleet/session.h"
#include "mesh/mesh_crash_report.h"
#include "mesh/mesh_handoff.h"
#include "mesh/mesh_newest_config.h"
#include "mesh/mesh_probe.h"
#include "mesh/mesh_proposal.h"
#include "mesh/mesh_retry_budget.h"
#include "mesh/mesh_settings.h"
#include "mesh/mesh_unconfirmed.h"
#include "serve/crash_evidence.h"
#include "serve/mesh_request.h"
#include "serve/peer_state.h"
#include "serve/run_times.h"
#include "shard/even_keys.h"
#include "shard/grant.h"
#include "shard/key_rate.h"
#include "types/action.h"
#include "types/event.h"
#include "types/reading_slot.h"
#include "types/routing.h"

/* The decisions of one node of a mesh.  The members and the owners of the keys
   are agreed on in a store with conditional appends.  A step takes in an event
   and the time and adds the actions to be done; the module has no socket,
   clock or main loop.  */

#define MESH_MAP_TIMES 4u /* arrival times of maps that are kept */

struct mesh
{
  struct mesh_settings settings; /* name, addresses and limits of this node */
  struct routing *routing;       /* configuration in force, or NULL */
  struct fleet_state fleet; /* members and shard maps read from the store */
  struct evacuations evacuations; /* evacuated data centres */
  gint64 release_keys_at; /* the keys of the local server are released from
                             then on if its data centre is evacuated */
  gboolean keys_released; /* their release has begun */
  gboolean config_usable; /* requests are routed by `routing' */
  struct freshness freshness[MESH_TOPICS]; /* how recent the copies are */
  struct grant grant;         /* keys granted to the local backend server */
  struct admission admission; /* slots and queue of the local backend server */
  struct run_times run_times; /* run times at the local backend server */
  struct run_times answer_times; /* time until callers' requests were answered,
                                    by route */
  struct key_rate key_rate;   /* requests per second for each key owned here */
  struct even_keys even_keys; /* mean demand on the server by its keys */
  struct ring ring;           /* neighbours that this node calls */
  struct table peers;         /* struct peer_state, by members' handles */
  GHashTable *peers_by_incarnation; /* incarnation to the bits of a handle in
                                       `peers'; may be out of date */
  struct handle next_report;        /* peer after which reports continue */
  struct table requests; /* struct mesh_request, by exchanges' handles */
  GArray *running;       /* struct handle, requests that were sent to the local
                            server; some may have ended */
  GArray *retry_budgets; /* struct mesh_retry_budget */
  struct crash_evidence crash_evidence; /* what may have crashed the local
                                           server */
  GArray *crash_reports; /* guint64, digests that have yet to be proposed as
                            suspects */
  struct mesh_crash_report own_reports[MESH_CRASH_REPORTS_MAX]; /* ring */
  guint32 next_own_report;       /* index in the ring of the next report */
  struct mesh_probe probe;       /* claim for a request that is held back */
  GArray *unconfirmed;           /* struct mesh_unconfirmed */
  GArray *handoffs;              /* struct mesh_handoff */
  struct mesh_proposal proposal; /* record that is being appended */
  gint64 propose_paused_until;   /* nothing is proposed before this time */
  guint64 propose_after_offset;  /* no map is proposed until all records below
                                    this offset are applied, or CATCH_UP_USEC
                                    has passed */
  gint64 started_at;             /* start of the process */
  gint64 last_event_at;          /* time of the last event */
  gint64 lagged_at;              /* last tick that was late, 0: none was */
  gint64 stood_still_at; /* first tick after the process stood still, 0: it
                            never did */
  gint64 last_tick_at;   /* last tick; a node that lags gets its ticks late */
  gint64 members_changed_at;   /* time of the last change of a member */
  gint64 balance_paused_until; /* no handoff is planned before this time */
  gint64 map_received_at[MESH_MAP_TIMES]; /* ring of the times at which the
                                             last maps arrived */
  guint32 maps_received;                  /* number of maps that arrived */
  gint64 next_balance_at; /* shards are not balanced between members before
                             this time */
  gint64 last_fetch_at;   /* last fetch of records from a peer */
  struct mesh_config_fetch config_fetches[MESH_CONFIG_FETCHES]; /* ring */
  guint32 config_fetch_count; /* fetches of a configuration so far */
  struct mesh_newest_config newest_config; /* newest one that is known of */
  gboolean fetch_deferred; /* a fetch follows soon after the last one */
  struct handle deferred_fetch_member; /* member to fetch from then */
  gboolean refuses_patches; /* the last patch of a map did not fit; the next
                               fetch asks for whole records */
  struct reading_duty duties[READING_SLOTS];      /* who reads the topics */
  struct read_attempt read_attempts[MESH_TOPICS]; /* own reads, by topic */
  gboolean held_duties[READING_SLOTS]; /* duties of this node at the last
                                          check */
  gint64 duties_known_from; /* since when other nodes can tell of the duties,
                               0: the members are not read yet */
  guint32 reads_answered;   /* own reads that the store answered */
  guint64 duties_given_up;  /* duties that are known to have been given up */
  guint32 rank;             /* rank by name at `rank_at' */
  gint64 rank_at;      /* when the rank was counted, 0: it has to be counted */
  gint64 next_walk_at; /* no walk over all members on a tick before this */
  gint64 server_answered_at;          /* last answer of the backend server */
  struct server_notice server_notice; /* what that answer said of the server */
  gboolean server_was_cold;           /* the server was cold when that was
                                         logged last */
  gboolean store_lost;                /* the store does not answer this node */
  guint64 era;              /* era of the store by the records read so far */
  gint64 era_known_at;      /* when this node learned of it */
  gint64 era_settles_at;    /* keys are given to other owners from then on */
  struct shard_map era_map; /* map of the own service when this node learned of
                               the era; no shards: none was known */
  guint64 min_fence; /* own shards under a lower fence are not granted before
                        they are assigned again */
  gboolean initial_read_done; /* the fleet's topic was read to its end once */
  gboolean earlier_settled;   /* no append by an earlier process of this node
                                 that has a condition can take effect any
                                 more */
  gboolean session_was_live;  /* the session was live at the last check */
  gint64 stop_requested_at; /* when the process was asked to stop, 0: never */
  gboolean exit_requested;  /* ACTION_EXIT was issued */
  guint64 last_serial;      /* serial of the last call or append */
  guint64 last_gossip_sequence; /* sequence number of the last gossip message
                                   sent */
  guint64 random_count;    /* seed plus the count of random numbers drawn */
  guint64 last_attempt_id; /* id of the last attempt at the backend server */
};

void mesh_init (struct mesh *mesh, const struct mesh_settings *settings,
                gint64 now);
void mesh_clear (struct mesh *mesh);
void mesh_step (struct mesh *mesh, const struct event *event, gint64 now,
                struct actions *out);
gboolean mesh_reads_fleet (struct mesh *mesh, gint64 now);
gboolean mesh_reads_config (struct mesh *mesh, gint64 now);
gboolean mesh_may_run_ahead (const struct mesh *mesh, const char *host,
                             const char *target);
gboolean mesh_is_ready (const struct mesh *mesh);
struct load_report mesh_load_report (struct mesh *mesh, gint64 now);

#endif
