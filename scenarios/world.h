#ifndef SCENARIO_WORLD_H
#define SCENARIO_WORLD_H

#include "scenarios/fake_log.h"
#include "scenarios/fake_net.h"
#include "scenarios/moment.h"
#include "scenarios/publication.h"
#include "scenarios/sending.h"
#include "scenarios/sim_call.h"
#include "scenarios/sim_exchange.h"
#include "scenarios/sim_node.h"

/* A simulation of several decision cores under simulated time, with fakes for
   the log, the network and the backend servers.  */

#define WORLD_SERVICE "s"    /* name of the only service */
#define FAULT_TEXT_SIZE 256u /* bytes of a failure message */

struct world
{
  gint64 now;     /* simulated time, microseconds */
  guint count;    /* number of nodes */
  guint zones;    /* number of zones */
  guint32 slices; /* slices of the service, 0 if undivided */
  struct sim_node nodes[NODES_MAX];
  struct fake_log log;
  struct fake_net net;
  GSequence *moments;     /* struct sim_event, ordered by due time */
  guint64 moment_serial;  /* serial of the event scheduled last */
  guint64 incarnations;   /* processes started so far */
  struct table exchanges; /* struct sim_exchange */
  struct table calls;     /* struct sim_call */
  GArray *sendings;       /* struct submission */
  GArray *runs;           /* struct fake_run */
  guint runs_checked;     /* runs that have been checked */
  guint crashes;          /* times a server crashed on a request */
  GHashTable *stamps;     /* request id to the struct stamp offered for it */
  struct fence fences[SLICES_MAX]; /* highest fence of a run, by slice */
  GArray *publications;            /* struct publication */
  gboolean verbose;                /* print log events and failures */
  char failure[FAULT_TEXT_SIZE]; /* first violated invariant, empty if none */
};

void world_init (struct world *world, guint32 seed);
void world_clear (struct world *world);
void world_start (struct world *world, guint count, guint zones,
                  guint32 slices);
void world_run_until (struct world *world, gint64 until);

/* Failures and operators.  */
void world_start_node (struct world *world, guint n);
void world_kill (struct world *world, guint n);
void world_freeze (struct world *world, guint n, gint64 until);
void world_drain (struct world *world, guint n);
void world_publish (struct world *world, const char *name, const char *author);

/* Requests.  */
guint world_request (struct world *world, guint n, const struct request *body,
                     gboolean probe);

/* Used only by the source files of the simulation.  */
struct moment *world_add (struct world *world, gint64 at,
                          enum moment_kind kind, guint n);
void world_feed (struct world *world, guint n, const struct event *event);
void world_do (struct world *world, guint n, const struct action *action);
void world_ended (struct world *world, const struct moment *moment);
void world_ran (struct world *world, const struct moment *moment);
void world_run (struct world *world, guint n, const struct action_run *action);
void world_end_exchange (struct world *world, const struct action *action);
void world_call (struct world *world, const struct moment *moment);
void world_answer (struct world *world, const struct moment *moment);
void world_append (struct world *world, const struct moment *moment);
void world_lose_exchanges (struct world *world, guint n);
guint world_find (const struct world *world, guint64 incarnation);
void world_fault (struct world *world, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

#endif
