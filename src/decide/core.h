#ifndef BAMBOOTALLY_CORE_H
#define BAMBOOTALLY_CORE_H

#include "decide/admission.h"
#include "decide/core_settings.h"
#include "decide/dedup.h"
#include "decide/drain.h"
#include "decide/fetch.h"
#include "decide/hot.h"
#include "decide/lease.h"
#include "decide/meter.h"
#include "decide/move.h"
#include "decide/outbox.h"
#include "decide/peer_load.h"
#include "decide/peers.h"
#include "decide/planner.h"
#include "decide/relay.h"
#include "decide/retry.h"
#include "decide/serve_guard.h"
#include "decide/snapshot_read.h"
#include "decide/snapshot_write.h"
#include "decide/suspect.h"
#include "decide/witness.h"
#include "types/event.h"
#include "types/view.h"

/* The decision logic of one node.  The core processes events, each with the
   time, and returns actions, without using a socket, clock or main loop
   itself.  */

struct core
{
  struct core_settings settings; /* identity and configuration of this node */
  struct view view;   /* replicated state: all log records applied so far */
  struct handle self; /* this node in the view; unset before it has joined */
  struct lease lease; /* the lease that lets this node serve */
  /* renewals acked and promises given as a witness of other nodes */
  struct witness witness;
  struct peers peers;    /* what other nodes have applied of the log */
  struct table removals; /* struct removal: promises being collected */
  guint64 removals_checked_offset; /* view offset that removals were last
                                      checked for */
  struct table certificates;       /* struct certificate */
  struct serve_guard guard; /* reasons not to serve slices owned on the log */
  struct moves moves;       /* moves from or to this node */
  struct admission admission; /* admission control of the backend server */
  struct dedup dedup; /* ids of run-once requests that have been run here */
  struct retry_budget retry_budget; /* retries that may still be made */
  struct table breakers;            /* struct breaker, by node handle */
  struct table loads;               /* struct peer_load, by node handle */
  struct table peer_probes;         /* struct peer_probe, by node handle */
  guint64 random_count;             /* random numbers drawn so far */
  struct suspects suspects; /* digests of requests that may crash servers */
  struct drain drain;       /* state of the graceful stop */
  struct fetch fetch;       /* download of a snapshot from a peer */
  struct relay relay;       /* source of log records: the log or a peer */
  struct outbox outbox;     /* own records not yet read back from the log */
  struct planner planner;   /* placement plan in progress */
  struct meter meter;       /* rate of requests received here, by slice */
  struct hot hot;           /* hot key detection */
  struct snapshot_writer snapshot_writer; /* the snapshot being written */
  struct snapshot_reader snapshot_reader; /* snapshot sought on the log */
  struct table requests; /* struct inflight, by the edge's exchange handles */
  struct event_server_up server; /* last announcement of the backend server */
  gboolean has_server;           /* the backend server has announced itself */
  /* the log has been read to its end at least once */
  gboolean has_reached_log_end;
  gboolean has_joined;  /* this node has been in the view */
  gboolean was_leaving; /* the log has shown this node as leaving */
  /* this node has been removed or proposes its removal, and serves nothing */
  gboolean is_leaving_fleet;
  gboolean exit_requested; /* ACTION_EXIT has been emitted */
  gint64 exit_at;       /* latest time to exit, monotonic usec; 0: not set */
  gint64 last_step_at;  /* time of the last event, monotonic usec */
  gboolean is_log_down; /* the last read of the log failed */
  /* first log offset retained, 0 if not known */
  guint64 first_retained_offset;
  /* the planner waits for further joins until then, monotonic usec */
  gint64 settled_at;
  guint64 last_call_serial;  /* serial of the last call to a node */
  guint64 last_attempt_id;   /* id of the last attempt at the backend server */
  guint32 round_robin_count; /* rotates the choice among equal members */
};

void core_init (struct core *core, const struct core_settings *settings);
void core_clear (struct core *core);
void core_step (struct core *core, const struct event *event, gint64 now,
                struct actions *out);

#endif
