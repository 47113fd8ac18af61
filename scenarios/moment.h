#ifndef SCENARIO_MOMENT_H
#define SCENARIO_MOMENT_H

#include "types/event.h"

/* An event scheduled in a simulation.  */

enum moment_kind
{
  MOMENT_TICK,     /* a node's periodic timer */
  MOMENT_READ,     /* a node's read of the log completes */
  MOMENT_EVENT,    /* an event is delivered to a node's core */
  MOMENT_CALL,     /* a call arrives at the called node */
  MOMENT_ENDED,    /* a node's attempt at a request ends */
  MOMENT_RAN,      /* a backend server has finished a request */
  MOMENT_ANSWER,   /* an answer reaches the caller */
  MOMENT_PUBLISH,  /* an operator appends a configuration */
  MOMENT_SERVER_UP /* a backend server starts */
};

struct moment
{
  gint64 at;      /* when it happens, simulated microseconds */
  guint64 serial; /* order of scheduling, breaks ties of due_at */
  enum moment_kind kind;
  guint node;          /* index of the node concerned */
  guint64 incarnation; /* node's process; stale once it has ended */
  struct event event; /* event for the core, or exchange of an ended attempt */
  struct handle handle; /* call or exchange concerned, if any */
  guint sending;        /* index of the submission or publication concerned */
  enum outcome outcome; /* outcome of the attempt or submission */
  enum reason reason;   /* reason for the outcome */
  struct stamp stamp;   /* stamp that the answer carries */
};

gint moment_compare (gconstpointer a, gconstpointer b, gpointer data);
void moment_free (gpointer data);

#endif
