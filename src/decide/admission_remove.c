#include "decide/admission.h"

/* Removal of requests from the queue without giving them a slot.  */

/* Remove the last request from a queue that has become too long because
   another request entered before it, and put it into EXCHANGE.  Return FALSE
   if the queue is not too long.  */
gboolean
admission_evict (struct admission *admission, struct handle *exchange)
{
  guint last_position = admission->queue->len - 1;

  if (admission->queue->len <= admission->queue_max)
    return FALSE;
  *exchange = g_array_index (admission->queue, struct admission_waiter,
                             last_position)
                  .exchange;
  g_array_remove_index (admission->queue, last_position);
  return TRUE;
}

/* Remove one request that has waited for its longest time from the queue, and
   put it into EXCHANGE.  Return FALSE if there is none.  */
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

/* Remove EXCHANGE from the queue if it is there.  */
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
