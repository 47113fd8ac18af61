#include "decide/admission.h"

/* What admission learns of the backend server.  */

/* Record that the backend server came up with SLOTS.  A repeated announcement
   of a running server does not restart its warm-up.  */
void
admission_on_server_up (struct admission *admission, guint32 slots, gint64 now)
{
  if (admission->slots == 0)
    {
      limiter_on_up (&admission->limiter, now);
      server_load_init (&admission->server_load);
    }
  admission->slots = slots;
}

/* Let the server run SLOTS requests at once and QUEUE_MAX requests wait.  This
   is for a server that accounts for its warm-up itself.  */
void
admission_set_slots (struct admission *admission, guint32 slots,
                     guint32 queue_max)
{
  admission->slots = slots;
  admission->queue_max = queue_max;
}

/* Process a load report of the server: BUSY slots in use at MEASURED_AT.
   Reports lag behind, so the most slots in use since the report before last
   are taken as those that admission filled.  */
void
admission_on_load_report (struct admission *admission, guint32 busy,
                          gint64 measured_at)
{
  guint32 given_slots
      = MAX (admission->peak_busy, admission->previous_peak_busy);

  server_load_on_report (&admission->server_load, busy, given_slots,
                         measured_at);
  admission->previous_peak_busy = admission->peak_busy;
  admission->peak_busy = admission->busy_slots;
}

/* Record that a request ran to its end in USEC microseconds.  */
void
admission_on_done (struct admission *admission, gint64 usec)
{
  limiter_on_done (&admission->limiter, usec);
  server_load_on_done (&admission->server_load, admission->slots);
}

/* Record that the server refused a request because it had no free slot.  */
void
admission_on_shed (struct admission *admission, gint64 now)
{
  limiter_on_shed (&admission->limiter, admission->slots, now);
  server_load_on_shed (&admission->server_load);
}
