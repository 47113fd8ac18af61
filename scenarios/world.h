#ifndef SCENARIO_WORLD_H
#define SCENARIO_WORLD_H

#include "scenarios/fake_log.h"
#include "scenarios/fake_net.h"
#include "scenarios/sim_event.h"
#include "scenarios/publication.h"
#include "scenarios/submission.h"
#include "scenarios/sim_call.h"
#include "scenarios/sim_exchange.h"
#include "scenarios/sim_node.h"

/* A handful of cores under scripted time, with fakes at their interfaces.  */

#define WORLD_SERVICE "s"      /* the one service of a world */
#define FAILURE_TEXT_SIZE 256u /* bytes that describe a broken property */

struct world
{
  gint64 now;          /* scripted microseconds */
  guint node_count;    /* nodes */
  guint zone_count;    /* zones they stand in */
  guint32 slice_count; /* slices of the service, 0 undivided */
  struct sim_node nodes[SIM_NODES_MAX];
  struct fake_log log;
  struct fake_net net;
  GSequence *event_queue;    /* struct moment, by time */
  guint64 last_event_serial; /* serial of the last moment */
  guint64 process_count;     /* processes started so far */
  struct table exchanges;    /* struct sim_exchange */
  struct table calls;        /* struct sim_call */
  GArray *submissions;       /* struct sending */
  GArray *runs;              /* struct fake_run */
  guint checked_run_count;   /* runs that were checked */
  guint crash_count;         /* times that a server stopped on a request */
  GHashTable *stamps;        /* request id to struct stamp */
  struct fence
      highest_fences[SLICES_MAX];  /* highest fence that ran, by slice */
  GArray *publications;            /* struct publication */
  gboolean verbose;                /* print notes and what happens */
  char failure[FAILURE_TEXT_SIZE]; /* the first broken property */
};

void world_init (struct world *world, guint32 seed);
void world_clear (struct world *world);
void world_start (struct world *world, guint count, guint zones,
                  guint32 slices);
void world_run_until (struct world *world, gint64 until);

/* Failures and operators.  */
void world_start_node (struct world *world, guint n);
void world_kill_node (struct world *world, guint n);
void world_freeze_node (struct world *world, guint n, gint64 until);
void world_drain_node (struct world *world, guint n);
void world_publish (struct world *world, const char *name, const char *author);

/* Requests.  */
guint world_submit (struct world *world, guint n, const struct request *body,
                    gboolean probe);

/* For the files of the world itself.  */
struct sim_event *world_schedule (struct world *world, gint64 at,
                                  enum sim_event_kind kind, guint n);
void world_deliver (struct world *world, guint n, const struct event *event);
void world_perform (struct world *world, guint n, const struct action *action);
void world_end_attempt (struct world *world,
                        const struct sim_event *sim_event);
void world_end_run (struct world *world, const struct sim_event *sim_event);
void world_start_run (struct world *world, guint n,
                      const struct action_run *action);
void world_end_exchange (struct world *world, const struct action *action);
void world_deliver_call (struct world *world,
                         const struct sim_event *sim_event);
void world_deliver_answer (struct world *world,
                           const struct sim_event *sim_event);
void world_append_config (struct world *world,
                          const struct sim_event *sim_event);
void world_drop_exchanges (struct world *world, guint n);
guint world_find_node (const struct world *world, guint64 incarnation);
void world_fail (struct world *world, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

#endif
