#ifndef SCENARIO_MOMENT_H
#define SCENARIO_MOMENT_H

#include "types/event.h"

/* Something that will happen in the world at a time.  */

enum moment_kind
{
  MOMENT_TICK,     /* a node's timer */
  MOMENT_READ,     /* a node's read of the log ends */
  MOMENT_EVENT,    /* an event reaches a node's core */
  MOMENT_CALL,     /* a call reaches a node */
  MOMENT_ENDED,    /* an attempt ends for a node */
  MOMENT_RAN,      /* a server has finished a request */
  MOMENT_ANSWER,   /* an answer reaches the caller */
  MOMENT_PUBLISH,  /* an operator appends */
  MOMENT_SERVER_UP /* a server starts again */
};

struct moment
{
  gint64 at;      /* when, scripted microseconds */
  guint64 serial; /* breaks ties, in order of making */
  enum moment_kind kind;
  guint node;           /* whom it concerns */
  guint64 incarnation;  /* which process of it, 0 for any */
  struct event event;   /* what the core is told */
  struct handle handle; /* exchange or call it belongs to */
  guint sending;        /* sending that is answered, or publication */
  enum outcome outcome; /* its outcome */
  enum reason reason;   /* its reason */
  struct stamp stamp;   /* stamp that the answer carries */
};

gint moment_compare (gconstpointer a, gconstpointer b, gpointer data);
void moment_free (gpointer data);

#endif
