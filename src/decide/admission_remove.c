#include "decide/admission.h"

/* How requests leave the queue without a slot.  */

/* Take the last request out of a queue that is longer than it may be, since
   another went before it.  Return FALSE if there is none.  */
gboolean
admission_evict (struct admission *admission, struct handle *exchange)
{
  guint last = admission->queue->len - 1;

  if (admission->queue->len <= admission->queue_max)
    return FALSE;
  *exchange = g_array_index (admission->queue, struct admission_waiter, last)
                  .exchange;
  g_array_remove_index (admission->queue, last);
  return TRUE;
}

/* Take one request that has waited as long as it may out of the queue.  Return
   FALSE if there is none.  */
gboolean
admission_expire (struct admission *admission, gint64 now,
                  struct handle *exchange)
{
  guint i;

  for (i = 0; i < admission->queue->len; i++)
    {
      const struct admission_waiter *waiter
          = &g_array_index (admission->queue, struct admission_waiter, i);
      if (waiter->wait_until > now)
        continue;
      *exchange = waiter->exchange;
      g_array_remove_index (admission->queue, i);
      return TRUE;
    }
  return FALSE;
}

/* Take EXCHANGE out of the queue if it waits there.  */
void
admission_remove (struct admission *admission, struct handle exchange)
{
  guint i;

  for (i = 0; i < admission->queue->len; i++)
    if (handle_equal (
            g_array_index (admission->queue, struct admission_waiter, i)
                .exchange,
            exchange))
      {
        g_array_remove_index (admission->queue, i);
        return;
      }
}
