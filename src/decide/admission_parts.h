#ifndef BAMBOOTALLY_ADMISSION_PARTS_H
#define BAMBOOTALLY_ADMISSION_PARTS_H

#include "decide/admission.h"

/* Functions that the source files of admission control share.  */

/* Slots and rates, admission.c.  */
guint32 admission_usable_slots (struct admission *admission, gint64 now);
gint64 admission_rate_wait_usec (const struct admission *admission,
                                 guint32 ahead, gint64 now);

/* The order of the queue, admission_queue.c.  */
guint admission_class (const struct admission_waiter *waiter);
gboolean admission_runs_before (const struct admission_waiter *a,
                                const struct admission_waiter *b);
void admission_enqueue (struct admission *admission,
                        const struct admission_waiter *waiter, gint64 now);
void admission_demote (struct admission *admission, gint64 now);

/* The wait in the queue, admission_wait.c.  */
struct admission_forecast
admission_forecast_waiter (struct admission *admission,
                           const struct admission_waiter *waiter, gint64 now);
enum reason admission_check_wait (struct admission *admission,
                                  struct admission_waiter *waiter, gint64 now);

#endif
