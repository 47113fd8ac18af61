#ifndef SCENARIO_SIM_EVENT_H
#define SCENARIO_SIM_EVENT_H

#include "types/event.h"

/* An event scheduled in a simulation.  */

enum sim_event_kind
{
  SIM_EVENT_TICK,          /* a node's periodic timer */
  SIM_EVENT_LOG_READ,      /* a node's read of the log completes */
  SIM_EVENT_CORE,          /* an event is delivered to a node's core */
  SIM_EVENT_PEER_CALL,     /* a call arrives at the called node */
  SIM_EVENT_ATTEMPT_ENDED, /* a node's attempt at a request ends */
  SIM_EVENT_RUN_ENDED,     /* a backend server has finished a request */
  SIM_EVENT_ANSWER,        /* an answer reaches the caller */
  SIM_EVENT_PUBLISH,       /* an operator appends a configuration */
  SIM_EVENT_SERVER_UP      /* a backend server starts */
};

struct sim_event
{
  gint64 due_at;  /* when it happens, simulated microseconds */
  guint64 serial; /* order of scheduling, breaks ties of due_at */
  enum sim_event_kind kind;
  guint node;               /* index of the node concerned */
  guint64 node_incarnation; /* of the node; the event is stale on mismatch */
  struct event core_event;  /* event to deliver, or exchange of the attempt */
  struct handle handle;     /* call or exchange concerned, if any */
  guint index;          /* index of the submission or publication concerned */
  enum outcome outcome; /* outcome of the attempt or submission */
  enum reason reason;   /* reason for the outcome */
  struct stamp stamp;   /* stamp that the answer carries */
};

gint sim_event_compare (gconstpointer a, gconstpointer b, gpointer data);
void sim_event_free (gpointer data);

#endif
