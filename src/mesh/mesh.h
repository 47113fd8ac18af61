#ifndef BAMBOOTALLY_MESH_H
#define BAMBOOTALLY_MESH_H

#include "decide/admission.h"
#include "decide/suspect.h"
#include "fleet/ring.h"
#include "fleet/fleet_state.h"
#include "fleet/session.h"
#include "mesh/mesh_retry_budget.h"
#include "mesh/mesh_unconfirmed.h"
#include "mesh/mesh_handoff.h"
#include "mesh/mesh_proposal.h"
#include "mesh/mesh_settings.h"
#include "serve/run_times.h"
#include "serve/mesh_request.h"
#include "serve/peer_state.h"
#include "shard/grant.h"
#include "shard/key_rate.h"
#include "types/action.h"
#include "types/event.h"
#include "types/routing.h"

/* All decisions of one node of a mesh whose members and key holders are agreed
   on in a store with conditional appends.  It is told events with the time and
   answers with actions; it has no socket, clock or main loop.  */

#define MESH_MAP_TIMES 4u /* maps whose times a node remembers */

struct mesh
{
  struct mesh_settings settings; /* who this node is */
  struct routing *routing;       /* the configuration in force, or NULL */
  struct fleet_state fleet;      /* members and maps */
  struct session session;        /* with the store */
  struct grant grant;            /* what the server here holds */
  struct admission admission;    /* admission to it */
  struct run_times run_times;    /* how long requests run there */
  struct heat key_rate;          /* how often its keys are asked for */
  struct ring ring;              /* whom this node calls */
  struct table peers;            /* struct upstream, by members' handles */
  struct handle next_report;     /* where the next pulse's news begins */
  struct table requests;         /* struct transit, by exchanges' handles */
  GArray *retry_budgets;         /* struct mesh_retry_budget */
  struct suspects suspects;      /* requests lost with the server */
  GArray *crash_reports;         /* guint64 digests to be reported */
  GArray *unconfirmed;           /* struct mesh_unconfirmed */
  GArray *handoffs;              /* struct mesh_handoff */
  struct mesh_proposal proposal; /* the record on its way */
  gint64 propose_paused_until;   /* nothing is proposed before */
  guint64 propose_after_offset;  /* nor before this is folded, for a while */
  gint64 started_at;             /* when the process started */
  gint64 last_event_at;          /* when the last event was taken in */
  gint64 members_changed_at;     /* members have not changed since */
  gint64 store_read_at;          /* when the store was last asked directly */
  gint64 balance_paused_until;   /* no keys are offered before */
  gint64 map_received_at[MESH_MAP_TIMES]; /* when the last maps of its service
                                             came */
  guint32 maps_received;                  /* how many came */
  gint64 next_balance_at;                 /* when keys were last evened out */
  gint64 last_fetch_at;         /* when a peer was last asked for records */
  gint64 server_answered_at;    /* when the server last answered */
  gboolean store_lost;          /* the store does not answer this node */
  gboolean initial_read_done;   /* the topic was read to its end once */
  gboolean session_was_live;    /* the session was live when last looked */
  gint64 stop_requested_at;     /* when it was asked to stop, 0: not */
  gboolean exit_requested;      /* it has asked to be ended */
  guint64 last_serial;          /* of the last call or append */
  guint64 last_gossip_sequence; /* stamp of the last pulse */
  guint64 random_count;         /* random numbers drawn */
  guint64 last_attempt_id;      /* number of the last attempt */
};

void mesh_init (struct mesh *mesh, const struct mesh_settings *settings,
                gint64 now);
void mesh_clear (struct mesh *mesh);
void mesh_step (struct mesh *mesh, const struct event *event, gint64 now,
                struct actions *out);
gboolean mesh_reads_fleet (struct mesh *mesh, gint64 now);
gboolean mesh_reads_config (struct mesh *mesh, gint64 now);
gboolean mesh_is_ready (const struct mesh *mesh);
struct load_report mesh_load_report (struct mesh *mesh, gint64 now);

#endif
