#ifndef BAMBOOTALLY_GATE_H
#define BAMBOOTALLY_GATE_H

#include "decide/pace.h"
#include "decide/server_load.h"
#include "types/request.h"

/* Admission to the backend server beside this node: its slots, and a short
   queue by priority and then by when the answer is due, so that requests with
   much time do not hold up those with little.  What cannot end within its
   deadline is refused at once.  */

/* A request that waits for a slot.  */
struct gate_waiter
{
  struct handle exchange; /* the request */
  enum priority priority; /* its priority */
  gint64 deadline;        /* microseconds */
  gint64 due;             /* of equal priority, who is due first goes first */
  gint64 until;           /* it waits no longer */
  gint64 run_usec;        /* how long it is thought to run */
};

/* What the gate expects of a request in its queue.  */
struct gate_forecast
{
  guint32 ahead;    /* requests that go before it */
  gint64 wait_usec; /* until it has a slot */
  gint64 run_usec;  /* how long it then runs */
};

struct gate
{
  guint32 slots; /* requests the server runs at once; 0 while it is down */
  guint32 busy;  /* slots in use */
  guint32 peak;  /* most slots in use since the last load report */
  guint32 peak_before;     /* most between the two reports before */
  guint32 limit;           /* requests that may wait */
  guint32 patience;        /* percent of its time that a request may wait */
  struct pace pace;        /* how fast the server runs requests */
  struct server_load load; /* what it reports */
  GArray *waiting;         /* struct gate_waiter, first to run first */
};

/* What the gate says of a request.  */
enum gate_verdict
{
  GATE_RUN,   /* it has a slot */
  GATE_WAIT,  /* it waits in the queue */
  GATE_REFUSE /* it is refused and has not run */
};

void gate_init (struct gate *gate);
void gate_clear (struct gate *gate);
void gate_on_up (struct gate *gate, guint32 slots, gint64 now);
void gate_set_slots (struct gate *gate, guint32 slots, guint32 limit);
void gate_on_load (struct gate *gate, guint32 busy, gint64 measured);
void gate_on_done (struct gate *gate, gint64 usec);
void gate_on_shed (struct gate *gate, gint64 now);
gboolean gate_has_room (struct gate *gate, gint64 now);
guint32 gate_retry_msec (struct gate *gate, gint64 now);
struct gate_forecast gate_forecast (struct gate *gate,
                                    const struct request *request, gint64 now);
enum gate_verdict gate_admit (struct gate *gate, struct handle exchange,
                              const struct request *request, gint64 now,
                              enum reason *reason);
void gate_release (struct gate *gate);
gboolean gate_next (struct gate *gate, gint64 now, struct handle *exchange);
gboolean gate_displace (struct gate *gate, struct handle *exchange);
gboolean gate_expire (struct gate *gate, gint64 now, struct handle *exchange);
void gate_forget (struct gate *gate, struct handle exchange);

#endif
