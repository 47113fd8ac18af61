#ifndef BAMBOOTALLY_CORE_H
#define BAMBOOTALLY_CORE_H

#include "decide/core_settings.h"
#include "decide/drain.h"
#include "decide/fetch.h"
#include "decide/admission.h"
#include "decide/serve_guard.h"
#include "decide/hot.h"
#include "decide/lease.h"
#include "decide/meter.h"
#include "decide/move.h"
#include "decide/dedup.h"
#include "decide/outbox.h"
#include "decide/peers.h"
#include "decide/relay.h"
#include "decide/retry.h"
#include "decide/peer_load.h"
#include "decide/planner.h"
#include "decide/snapshot_read.h"
#include "decide/snapshot_write.h"
#include "decide/suspect.h"
#include "decide/witness.h"
#include "types/event.h"
#include "types/view.h"

/* All decisions of one node.  It is told events with the time and answers
   with actions; it has no socket, clock or main loop.  */

struct core
{
  struct core_settings settings;    /* who this node is */
  struct view view;                 /* what the log adds up to */
  struct handle self;               /* this node in the view */
  struct lease lease;               /* its lease */
  struct witness witness;           /* its acks to others */
  struct peers peers;               /* how far others have folded */
  struct table removals;            /* struct removal */
  guint64 removals_checked_offset;  /* view that removals were taken from */
  struct table certificates;        /* struct certificate */
  struct serve_guard guard;         /* what keeps it from serving slices */
  struct moves moves;               /* moves that concern it */
  struct admission admission;       /* admission to its server */
  struct dedup dedup;               /* ids of requests that run once */
  struct retry_budget retry_budget; /* retries that may be made */
  struct table breakers;            /* struct breaker, by nodes' handles */
  struct table loads;               /* struct peer_load, by nodes' handles */
  struct table peer_probes;         /* struct silence, by nodes' handles */
  guint64 random_count;             /* random numbers drawn */
  struct suspects suspects;         /* requests that crash servers */
  struct drain drain;               /* the graceful stop */
  struct fetch fetch;               /* the view it asks a peer for */
  struct relay relay;               /* where it reads records from */
  struct outbox outbox;             /* its records on their way */
  struct planner planner;           /* its plans of placement */
  struct meter meter;               /* requests by slice that enter here */
  struct hot hot;                   /* hot keys */
  struct snapshot_writer snapshot_writer; /* snapshots it writes */
  struct snapshot_reader snapshot_reader; /* the snapshot it looks for */
  struct table requests;         /* struct flight, by the edge's handles */
  struct event_server_up server; /* what its server announced */
  gboolean has_server;           /* whether the server announced itself */
  gboolean has_reached_log_end;  /* the log has been read to its tail once */
  gboolean has_joined;           /* this node has been in the view */
  gboolean was_leaving;          /* it has been leaving */
  gboolean is_leaving_fleet; /* it is out or goes out, and serves nothing */
  gboolean exit_requested;   /* it has asked to be ended */
  gint64 exit_at;            /* it is ended then, work in flight or not */
  gint64 last_step_at;       /* when the last event was taken in */
  gboolean is_log_down;      /* the last read of the log failed */
  guint64 first_retained_offset; /* first record retained, 0 if not known */
  gint64 settled_at;             /* members have settled from then on */
  guint64 last_call_serial;      /* serial of the last call to a node */
  guint64 last_attempt_id;       /* number of the last attempt */
  guint32 round_robin_count;     /* takes members in turn */
};

void core_init (struct core *core, const struct core_settings *settings);
void core_clear (struct core *core);
void core_step (struct core *core, const struct event *event, gint64 now,
                struct actions *out);

#endif
