#ifndef BAMBOOTALLY_ADMISSION_H
#define BAMBOOTALLY_ADMISSION_H

#include "decide/limiter.h"
#include "decide/retry_spread.h"
#include "decide/server_limit.h"
#include "decide/server_load.h"
#include "decide/wait_rule.h"
#include "decide/warmup.h"
#include "decide/work_rate.h"
#include "types/request.h"

/* Admission control of the backend server beside this node: its slots, and a
   short queue ordered by priority, then calls before others, then what can
   meet its target before what cannot, and then by the latest start.  A request
   that is not expected to end within its deadline is refused at once.  */

/* A request that waits for a slot.  */
struct admission_waiter
{
  struct handle exchange; /* the request, as the edge names it */
  enum priority priority; /* the request runs before those of lower priority */
  gboolean is_call;       /* the request runs before those of equal priority
                             that no running request waits for */
  gint64 deadline;        /* the request must end by then, monotonic usec */
  gboolean is_late;  /* the request is not expected to end by its due time;
                        those that are run before it */
  gint64 due_at;     /* time by which the request should end, monotonic usec */
  gint64 wait_until; /* the request leaves the queue then at the latest,
                        monotonic usec */
  gint64 run_usec;   /* expected run time, microseconds */
  gint64 start_by;   /* the request is to start by then to meet its target; the
                        earliest of one class runs first */
};

/* Expected course of a request in the queue.  */
struct admission_forecast
{
  guint32 requests_ahead; /* queued requests that run before this one */
  gint64 wait_usec;       /* time until the request has a slot, microseconds */
  gint64 run_usec;        /* expected run time after that, microseconds */
  gint64 free_milli;      /* thousandths of a slot that requests which go
                             before it leave free */
};

struct admission
{
  guint32 slots; /* requests the server runs at once; 0 while it is down */
  guint32 busy_slots; /* slots in use */
  guint32 peak_busy;  /* most slots in use since the last load report */
  guint32 previous_peak_busy; /* most slots in use between the two previous
                                 reports */
  guint32 queue_max;          /* most requests in the queue */
  /* longest time in the queue, in percent of the time that the request has
     until its deadline */
  guint32 max_wait_percent;
  /* measured run times; limits slots after a start and refusals */
  struct limiter limiter;
  struct server_load server_load;   /* load that the server reports */
  struct server_limit limit;        /* limit that the server names */
  struct warmup warmup;             /* rate limit while the server is cold */
  struct work_rate work_rate;       /* work that was admitted recently */
  struct retry_spread retry_spread; /* when refused callers are to return */
  gint64 last_start_at; /* when a request was last given a slot, 0: none was */
  gboolean awaits_answer; /* no answer of the server has come yet that would
                             name its limit */
  GArray *queue;          /* struct admission_waiter, in run order */
};

/* Result of a request for a slot.  */
enum admission_result
{
  ADMISSION_RUN,   /* the request has a slot */
  ADMISSION_QUEUE, /* the request is in the queue */
  ADMISSION_REFUSE /* the request is refused and has not run */
};

void admission_init (struct admission *admission);
void admission_clear (struct admission *admission);
void admission_on_server_up (struct admission *admission, guint32 slots,
                             gint64 now);
void admission_set_slots (struct admission *admission, guint32 slots,
                          guint32 queue_max);
void admission_on_load_report (struct admission *admission, guint32 busy,
                               gint64 measured_at);
void admission_on_done (struct admission *admission, gint64 usec);
void admission_on_shed (struct admission *admission, gint64 now);
gboolean admission_has_free_slot (struct admission *admission, gint64 now);
guint32 admission_retry_msec (struct admission *admission, gint64 now);
gint64 admission_retry_usec (struct admission *admission,
                             const struct request *request, gint64 now);
struct admission_forecast admission_forecast (struct admission *admission,
                                              const struct request *request,
                                              gint64 now);
enum admission_result admission_request (struct admission *admission,
                                         struct handle exchange,
                                         const struct request *request,
                                         gint64 now, enum reason *reason);
void admission_release (struct admission *admission);
void admission_give_back (struct admission *admission);
gboolean admission_next (struct admission *admission, gint64 now,
                         struct handle *exchange);
gboolean admission_starts_in_time (const struct admission *admission,
                                   const struct admission_waiter *waiter,
                                   guint32 ahead, gint64 now);
gboolean admission_evict_late (struct admission *admission, gint64 now,
                               struct handle *exchange);
gboolean admission_evict (struct admission *admission,
                          struct handle *exchange);
gboolean admission_expire (struct admission *admission, gint64 now,
                           struct handle *exchange);
void admission_remove (struct admission *admission, struct handle exchange);

#endif
