#include "decide/gate.h"

/* Set up a gate whose server has not announced itself.  */
void
gate_init (struct gate *gate)
{
  gate->slots = 0;
  gate->busy = 0;
  gate->limit = 0;
  gate->waiting = g_array_new (FALSE, TRUE, sizeof (struct gate_waiter));
}

/* Release what GATE holds.  */
void
gate_clear (struct gate *gate)
{
  g_array_free (gate->waiting, TRUE);
  gate->waiting = NULL;
}

/* Tell whether A runs before B.  */
static gboolean
runs_before (const struct gate_waiter *a, const struct gate_waiter *b)
{
  if (a->priority != b->priority)
    return a->priority < b->priority;
  return a->deadline < b->deadline;
}

/* Put WAITER where it belongs in the queue.  */
static void
enqueue (struct gate *gate, const struct gate_waiter *waiter)
{
  guint at = gate->waiting->len;

  while (at > 0
         && runs_before (waiter, &g_array_index (gate->waiting,
                                                 struct gate_waiter, at - 1)))
    at--;
  g_array_insert_vals (gate->waiting, at, waiter, 1);
}

/* Give REQUEST a slot, let it wait, or refuse it for REASON.  */
enum gate_verdict
gate_admit (struct gate *gate, struct handle exchange,
            const struct request *request, gint64 now, enum reason *reason)
{
  struct gate_waiter waiter
      = { exchange, request->priority, request->deadline };

  if (request->deadline <= now)
    {
      *reason = REASON_DEADLINE;
      return GATE_REFUSE;
    }
  if (gate->slots == 0)
    {
      *reason = REASON_SERVER_DOWN;
      return GATE_REFUSE;
    }
  if (gate->busy < gate->slots && gate->waiting->len == 0)
    {
      gate->busy++;
      return GATE_RUN;
    }
  if (gate->waiting->len >= gate->limit)
    {
      *reason = REASON_OVERLOAD;
      return GATE_REFUSE;
    }
  enqueue (gate, &waiter);
  return GATE_WAIT;
}

/* Give back a slot.  */
void
gate_release (struct gate *gate)
{
  g_assert (gate->busy > 0);
  gate->busy--;
}

/* Give a free slot to the first request in the queue.  Return FALSE if there
   is no slot or no request.  */
gboolean
gate_next (struct gate *gate, struct handle *exchange)
{
  if (gate->busy >= gate->slots || gate->waiting->len == 0)
    return FALSE;
  *exchange = g_array_index (gate->waiting, struct gate_waiter, 0).exchange;
  g_array_remove_index (gate->waiting, 0);
  gate->busy++;
  return TRUE;
}

/* Take one request whose deadline has passed out of the queue.  Return FALSE
   if there is none.  */
gboolean
gate_expire (struct gate *gate, gint64 now, struct handle *exchange)
{
  guint i;

  for (i = 0; i < gate->waiting->len; i++)
    {
      const struct gate_waiter *waiter
          = &g_array_index (gate->waiting, struct gate_waiter, i);
      if (waiter->deadline > now)
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
