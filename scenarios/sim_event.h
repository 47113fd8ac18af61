#ifndef SCENARIO_MOMENT_H
#define SCENARIO_MOMENT_H

#include "types/event.h"

/* Something that will happen in the world at a time.  */

enum sim_event_kind
{
  SIM_EVENT_TICK,          /* a node's timer */
  SIM_EVENT_LOG_READ,      /* a node's read of the log ends */
  SIM_EVENT_CORE,          /* an event reaches a node's core */
  SIM_EVENT_PEER_CALL,     /* a call reaches a node */
  SIM_EVENT_ATTEMPT_ENDED, /* an attempt ends for a node */
  SIM_EVENT_RUN_ENDED,     /* a server has finished a request */
  SIM_EVENT_ANSWER,        /* an answer reaches the caller */
  SIM_EVENT_PUBLISH,       /* an operator appends */
  SIM_EVENT_SERVER_UP      /* a server starts again */
};

struct sim_event
{
  gint64 due_at;  /* when, scripted microseconds */
  guint64 serial; /* breaks ties, in order of making */
  enum sim_event_kind kind;
  guint node;               /* whom it concerns */
  guint64 node_incarnation; /* which process of it, 0 for any */
  struct event core_event;  /* what the core is told */
  struct handle handle;     /* exchange or call it belongs to */
  guint index;              /* sending that is answered, or publication */
  enum outcome outcome;     /* its outcome */
  enum reason reason;       /* its reason */
  struct stamp stamp;       /* stamp that the answer carries */
};

gint sim_event_compare (gconstpointer a, gconstpointer b, gpointer data);
void sim_event_free (gpointer data);

#endif
