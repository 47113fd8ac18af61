#ifndef BAMBOOTALLY_GATE_H
#define BAMBOOTALLY_GATE_H

#include "decide/pace.h"
#include "decide/server_load.h"
#include "types/request.h"

/* Admission control of the backend server beside this node: its slots, and a
   short queue ordered by priority and then by due time, so that requests with
   much time do not delay those with little.  A request that cannot end within
   its deadline is refused at once.  */

/* A request that waits for a slot.  */
struct gate_waiter
{
  struct handle exchange; /* the request, as the edge names it */
  enum priority priority; /* runs before requests of lower priority */
  gint64 deadline;        /* the request must end by then, monotonic usec */
  gint64 due;             /* among equal priorities, the earliest runs first */
  gint64 until;           /* it leaves the queue then, monotonic usec */
  gint64 run_usec;        /* expected run time, microseconds */
};

/* Expected course of a request in the queue.  */
struct gate_forecast
{
  guint32 ahead;    /* requests that run before it */
  gint64 wait_usec; /* time until it has a slot, microseconds */
  gint64 run_usec;  /* time it then runs, microseconds */
};

struct gate
{
  guint32 slots; /* requests the server runs at once; 0 while it is down */
  guint32 busy;  /* slots in use */
  guint32 peak;  /* most slots in use since the last load report */
  guint32 peak_before; /* most slots in use between the two previous reports */
  guint32 limit;       /* most requests in the queue */
  /* percent of the time to its deadline that a request may spend in the
     queue */
  guint32 patience;
  /* measured run times; limits slots after a start and refusals */
  struct pace pace;
  struct server_load load; /* load that the server reports */
  GArray *waiting;         /* struct admission_waiter, in run order */
};

/* Result of a request for a slot.  */
enum gate_verdict
{
  GATE_RUN,   /* it has a slot */
  GATE_WAIT,  /* it is in the queue */
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
