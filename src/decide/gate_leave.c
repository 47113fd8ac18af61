#include "decide/gate.h"

/* Removal of requests from the queue without giving them a slot.  */

/* Remove the last request from a queue that has become too long because
   another request entered before it, and put it into EXCHANGE.  Return FALSE
   if the queue is not too long.  */
gboolean
gate_displace (struct gate *gate, struct handle *exchange)
{
  guint last_position = gate->waiting->len - 1;

  if (gate->waiting->len <= gate->limit)
    return FALSE;
  *exchange = g_array_index (gate->waiting, struct gate_waiter, last_position)
                  .exchange;
  g_array_remove_index (gate->waiting, last_position);
  return TRUE;
}

/* Remove one request that has waited for its longest time from the queue, and
   put it into EXCHANGE.  Return FALSE if there is none.  */
gboolean
gate_expire (struct gate *gate, gint64 now, struct handle *exchange)
{
  guint i;

  for (i = 0; i < gate->waiting->len; i++)
    {
      const struct gate_waiter *waiter
          = &g_array_index (gate->waiting, struct gate_waiter, i);
      if (waiter->until > now)
        continue;
      *exchange = waiter->exchange;
      g_array_remove_index (gate->waiting, i);
      return TRUE;
    }
  return FALSE;
}

/* Remove EXCHANGE from the queue if it is there.  */
void
gate_forget (struct gate *gate, struct handle exchange)
{
  guint i;

  for (i = 0; i < gate->waiting->len; i++)
    if (handle_equal (
            g_array_index (gate->waiting, struct gate_waiter, i).exchange,
            exchange))
      {
        g_array_remove_index (gate->waiting, i);
        return;
      }
}
