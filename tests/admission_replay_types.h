#ifndef TESTS_ADMISSION_REPLAY_TYPES_H
#define TESTS_ADMISSION_REPLAY_TYPES_H

#include "decide/admission.h"
#include "serve/call_retry.h"
#include "serve/run_times.h"

/* The types of tests/admission_replay.h.  */

#define REPLAY_SLOTS 6u
#define REPLAY_QUEUE (REPLAY_SLOTS * 4)
#define REPLAY_START ((gint64)1000000000)
#define REPLAY_MSEC ((gint64)1000)
#define REPLAY_STEP (1 * REPLAY_MSEC)
#define REPLAY_TARGET (600 * REPLAY_MSEC) /* of new requests */
#define REPLAY_ITEMS 512u
#define REPLAY_CALL_SHARE 0.12 /* share of the capacity that calls ask for */
#define REPLAY_CALL_WAIT_MIN (30 * REPLAY_MSEC)

/* The kinds of requests; a call of priority P has the kind 3 + P.  */
#define REPLAY_KINDS 6u

/* Results for one kind.  */
struct replay_result
{
  guint tries;      /* times that requests or calls were sent */
  guint sent;       /* requests, or calls */
  guint on_time;    /* ended within the target */
  guint late;       /* ended after the target, within the deadline */
  guint refused;    /* refused, for good */
  guint in_vain;    /* refused after a wait, or ended after the deadline */
  gint64 vain_usec; /* time that those waited or ran */
};

/* One request or call in the replay.  */
struct replay_item
{
  gboolean used;      /* the entry is in use */
  guint kind;         /* index of its kind */
  gint64 arrived_at;  /* when it arrived first */
  gint64 deadline;    /* when its caller gives up */
  gint64 due_at;      /* its target, from its first arrival */
  gint64 seen_due_at; /* its target as the node takes it, which does not know
                         of earlier attempts */
  gint64 run_usec;    /* how long it will run */
  gint64 started_at;  /* when it got a slot, 0: it has none */
  gint64 again_at;    /* when it is sent again, 0: it is not */
  struct call_refusal refusal; /* what a call knows of its refusals */
};

/* How refused callers of new requests return.  */
enum replay_return
{
  REPLAY_RETURN_NEVER, /* they do not */
  REPLAY_RETURN_NEXT, /* as admission_retry_msec says: at the next free slot */
  REPLAY_RETURN_SPREAD /* as admission_retry_usec says */
};

/* A load: shares of the capacity, by time.  */
struct replay_load
{
  double load;       /* offered work as a share of the capacity */
  double burst_load; /* the same during the burst */
  gint64 burst_at;   /* when a burst begins, from the start; 0: none */
  gint64 burst_usec; /* length of the burst */
  gint64 usec;       /* length of the replay */
  double share[3];   /* shares of the priorities in new requests */
  enum replay_return returns; /* how refused callers return */
};

struct replay
{
  struct admission admission;
  struct run_times run_times;
  struct replay_item items[REPLAY_ITEMS];
  struct replay_result results[REPLAY_KINDS];
  enum replay_return returns;
  GRand *random;
  gint64 now;
  double next_at[2]; /* when the next request and the next call arrive */
  double busy_usec;  /* slot time used */
};

#endif
