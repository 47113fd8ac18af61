#include "scenarios/world.h"

/* The queue of scheduled events.  */

/* Order two events by due time, then by order of scheduling.  */
gint
sim_event_compare (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct sim_event *left = a;
  const struct sim_event *right = b;

  (void)data;
  if (left->due_at != right->due_at)
    return left->due_at < right->due_at ? -1 : 1;
  return left->serial < right->serial ? -1 : left->serial > right->serial;
}

/* Schedule an event of KIND for node N at AT.  Only the due time and the
   serial determine its position in the queue, so that the caller may fill in
   the other fields afterwards.  */
struct sim_event *
world_schedule (struct world *world, gint64 at, enum sim_event_kind kind,
                guint n)
{
  struct sim_event *scheduled = g_new0 (struct sim_event, 1);

  scheduled->due_at = at;
  scheduled->serial = ++world->last_event_serial;
  scheduled->kind = kind;
  scheduled->node = n;
  scheduled->node_incarnation = world->nodes[n].incarnation;
  g_sequence_insert_sorted (world->event_queue, scheduled, sim_event_compare,
                            NULL);
  return scheduled;
}

/* Free an event and the bytes of a fetch reply that it carries.  */
void
sim_event_free (gpointer data)
{
  struct sim_event *scheduled = data;
  struct peer_reply *reply = &scheduled->core_event.u.peer_reply.body;

  if (scheduled->kind == SIM_EVENT_CORE
      && scheduled->core_event.kind == EVENT_PEER_REPLY
      && reply->kind == PEER_FETCH)
    g_free (reply->u.fetch.bytes);
  g_free (scheduled);
}
