#ifndef BAMBOOTALLY_ADMISSION_H
#define BAMBOOTALLY_ADMISSION_H

#include "decide/limiter.h"
#include "decide/server_load.h"
#include "types/request.h"

/* Admission to the backend server beside this node: its slots, and a short
   queue by priority and then by when the answer is due, so that requests with
   much time do not hold up those with little.  What cannot end within its
   deadline is refused at once.  */

/* A request that waits for a slot.  */
struct admission_waiter
{
  struct handle exchange; /* the request */
  enum priority priority; /* its priority */
  gint64 deadline;        /* microseconds */
  gint64 due_at;          /* of equal priority, who is due first goes first */
  gint64 wait_until;      /* it waits no longer */
  gint64 run_usec;        /* how long it is thought to run */
};

/* What the gate expects of a request in its queue.  */
struct admission_forecast
{
  guint32 requests_ahead; /* requests that go before it */
  gint64 wait_usec;       /* until it has a slot */
  gint64 run_usec;        /* how long it then runs */
};

struct admission
{
  guint32 slots; /* requests the server runs at once; 0 while it is down */
  guint32 busy_slots; /* slots in use */
  guint32 peak_busy;  /* most slots in use since the last load report */
  guint32 previous_peak_busy; /* most between the two reports before */
  guint32 queue_max;          /* requests that may wait */
  guint32 max_wait_percent;   /* percent of its time that a request may wait */
  struct limiter limiter;     /* how fast the server runs requests */
  struct server_load server_load; /* what it reports */
  GArray *queue; /* struct admission_waiter, first to run first */
};

/* What the gate says of a request.  */
enum admission_result
{
  ADMISSION_RUN,   /* it has a slot */
  ADMISSION_QUEUE, /* it waits in the queue */
  ADMISSION_REFUSE /* it is refused and has not run */
};

void admission_init (struct admission *admission);
void admission_clear (struct admission *admission);
void admission_on_server_up (struct admission *admission, guint32 slots,
                             gint64 now);
void admission_set_slots (struct admission *admission, guint32 slots,
                          guint32 limit);
void admission_on_load_report (struct admission *admission, guint32 busy,
                               gint64 measured);
void admission_on_done (struct admission *admission, gint64 usec);
void admission_on_shed (struct admission *admission, gint64 now);
gboolean admission_has_free_slot (struct admission *admission, gint64 now);
guint32 admission_retry_msec (struct admission *admission, gint64 now);
struct admission_forecast admission_forecast (struct admission *admission,
                                              const struct request *request,
                                              gint64 now);
enum admission_result admission_request (struct admission *admission,
                                         struct handle exchange,
                                         const struct request *request,
                                         gint64 now, enum reason *reason);
void admission_release (struct admission *admission);
gboolean admission_next (struct admission *admission, gint64 now,
                         struct handle *exchange);
gboolean admission_evict (struct admission *admission,
                          struct handle *exchange);
gboolean admission_expire (struct admission *admission, gint64 now,
                           struct handle *exchange);
void admission_remove (struct admission *admission, struct handle exchange);

#endif
