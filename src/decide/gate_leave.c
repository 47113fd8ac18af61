#include "decide/gate.h"

/* How requests leave the queue without a slot.  */

/* Take the last request out of a queue that is longer than it may be, since
   another went before it.  Return FALSE if there is none.  */
gboolean
gate_displace (struct gate *gate, struct handle *exchange)
{
  guint last = gate->waiting->len - 1;

  if (gate->waiting->len <= gate->limit)
    return FALSE;
  *exchange = g_array_index (gate->waiting, struct gate_waiter, last).exchange;
  g_array_remove_index (gate->waiting, last);
  return TRUE;
}

/* Take one request that has waited as long as it may out of the queue.  Return
   FALSE if there is none.  */
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

/* Take EXCHANGE out of the queue if it waits there.  */
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
