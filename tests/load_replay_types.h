#ifndef TESTS_LOAD_REPLAY_TYPES_H
#define TESTS_LOAD_REPLAY_TYPES_H

#include "decide/server_load.h"
#include "serve/peer_state.h"
#include "types/clock.h"

/* Replays entry nodes that choose servers of an unsharded service by what they
   know, without a network.  Each server has a queue, runs as many requests as
   it has slots, and is slow for 0.4 s at a time.  Reports come with answers
   and otherwise as the case says.  */

#define REPLAY_ENTRIES 81u
#define REPLAY_SERVERS_MAX 32u
#define REPLAY_ZONES 3u
#define REPLAY_SLOTS 6u
#define REPLAY_QUEUE 24u   /* requests that wait at a server at most */
#define REPLAY_OFFERS 3u   /* servers that are offered a request at most */
#define REPLAY_MOVES 8192u /* requests and answers on their way at most */
#define REPLAY_WAITS 200000u
#define REPLAY_RUN_USEC 140000.0 /* mean run at a server of speed 1 */
#define REPLAY_STEP_USEC ((gint64)1000)
#define REPLAY_WARMUP_USEC ((gint64)3000000)
#define REPLAY_END_USEC ((gint64)23000000)
#define REPLAY_WINDOW_USEC ((gint64)1000000) /* in which load is compared */
#define REPLAY_REPORT_USEC ((gint64)1300000) /* between periodic reports */
#define REPLAY_SLOW_USEC ((gint64)400000)    /* a machine is slow so long */
#define REPLAY_SLOW_FACTOR 3.0
#define REPLAY_SLOW_GAP_USEC 3600000.0 /* mean time in between */
/* part of the nominal capacity that is left by slow machines */
#define REPLAY_SLOW_CAPACITY 0.933

enum replay_reports
{
  REPLAY_PERIODIC, /* every 1.3 s from each server to each entry, and with
                      answers */
  REPLAY_ANSWERS,  /* with answers only */
  REPLAY_MISSING   /* none */
};

struct replay_case
{
  guint servers;
  const gdouble *speeds; /* speeds of the servers, repeated */
  guint speed_count;
  gdouble utilisation;
  enum replay_reports reports;
  gboolean names_slowdown; /* servers say how long work takes now */
};

struct replay_result
{
  gdouble busiest;   /* work of the busiest server by its speed in a second, in
                        multiples of the mean */
  gdouble wait_ms;   /* mean time to the start of the run */
  gdouble wait95_ms; /* its 95th percentile */
  gdouble refused;   /* share of the requests that no server took */
  gdouble crossed;   /* offers to another zone for each request */
};

/* A request.  */
struct replay_job
{
  guint entry;
  gint64 entered_at;
  gint64 started_at;
  gint64 end_at;
  gdouble work; /* in mean runs */
  guint offers;
  guint32 tried; /* bit for each server that refused it */
};

struct replay_server
{
  gdouble speed;
  guint zone;
  guint running;
  guint waiting;
  struct replay_job runs[REPLAY_SLOTS];
  struct replay_job queue[REPLAY_QUEUE];
  gint64 slow_until;
  gint64 next_slow_at;
  gdouble mean_run;
  guint run_count;
  struct server_load load; /* what the node knows of its server's load */
  gdouble work;            /* taken in the present window */
};

enum replay_move_kind
{
  REPLAY_OFFER,
  REPLAY_ANSWER,
  REPLAY_REFUSAL
};

/* A message between an entry and a server.  */
struct replay_move
{
  enum replay_move_kind kind;
  guint server;
  gint64 at;
  struct replay_job job;
  struct load_report load;
};

struct replay
{
  const struct replay_case *setup;
  gint64 now;
  GRand *random;
  struct replay_server servers[REPLAY_SERVERS_MAX];
  struct peer_state peers[REPLAY_ENTRIES][REPLAY_SERVERS_MAX];
  gint64 next_report_at[REPLAY_ENTRIES];
  struct replay_move moves[REPLAY_MOVES];
  guint move_count;
  gdouble waits[REPLAY_WAITS];
  guint wait_count;
  guint total;
  guint refused;
  guint crossed;
  gdouble busiest_sum;
  guint window_count;
};

/* A method: returns the server that entry E offers a request to, among those
   whose bit in TRIED is not set, or -1.  */
typedef gint (*replay_choose) (struct replay *replay, guint e, guint32 tried);

#endif
