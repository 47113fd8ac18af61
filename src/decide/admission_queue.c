#include "decide/admission_parts.h"

/* The order of the queue.  */

/* Return the class of WAITER in the order of the queue.  Lower classes run
   first: by priority, then calls, then what can meet its target.  */
guint
admission_class (const struct admission_waiter *waiter)
{
  return (guint)waiter->priority * 4 + (waiter->is_call ? 0u : 2u)
         + (waiter->is_late ? 1u : 0u);
}

/* Tell whether A runs before B.  */
gboolean
admission_runs_before (const struct admission_waiter *a,
                       const struct admission_waiter *b)
{
  guint class_a = admission_class (a);
  guint class_b = admission_class (b);

  return class_a != class_b ? class_a < class_b : a->start_by < b->start_by;
}

/* Insert WAITER into the queue at its place in the run order.  */
static void
insert (struct admission *admission, const struct admission_waiter *waiter)
{
  guint at = admission->queue->len;

  while (at > 0
         && admission_runs_before (
             waiter, &g_array_index (admission->queue, struct admission_waiter,
                                     at - 1)))
    at--;
  g_array_insert_vals (admission->queue, at, waiter, 1);
}

/* Put WAITER, which is admitted at NOW, into the queue.  */
void
admission_enqueue (struct admission *admission,
                   const struct admission_waiter *waiter, gint64 now)
{
  work_rate_add (&admission->work_rate, admission_class (waiter),
                 waiter->run_usec, now);
  insert (admission, waiter);
}

/* Tell whether WAITER can no longer meet its target, even if it starts at
   NOW.  A request without a target has its deadline for one and is never
   late.  */
static gboolean
misses_target (const struct admission_waiter *waiter, gint64 now)
{
  return waiter->due_at < waiter->deadline && now > waiter->start_by;
}

/* Move the requests that can no longer meet their targets behind those that
   can.  */
void
admission_demote (struct admission *admission, gint64 now)
{
  guint i = 0;

  while (i < admission->queue->len)
    {
      struct admission_waiter waiter
          = g_array_index (admission->queue, struct admission_waiter, i);
      if (waiter.is_late || !misses_target (&waiter, now))
        {
          i++;
          continue;
        }
      g_array_remove_index (admission->queue, i);
      waiter.is_late = TRUE;
      insert (admission, &waiter);
    }
}
