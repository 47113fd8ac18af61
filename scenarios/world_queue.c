#include "scenarios/world.h"

/* What is to happen, in order of time.  */

/* Order two moments by time, then by when they were made.  */
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

/* Add a moment of KIND that concerns node N at AT.  Only the time and serial
   order it, so that the rest may be filled in later.  */
struct sim_event *
world_schedule (struct world *world, gint64 at, enum sim_event_kind kind,
                guint n)
{
  struct sim_event *sim_event = g_new0 (struct sim_event, 1);

  sim_event->due_at = at;
  sim_event->serial = ++world->last_event_serial;
  sim_event->kind = kind;
  sim_event->node = n;
  sim_event->node_incarnation = world->nodes[n].incarnation;
  g_sequence_insert_sorted (world->event_queue, sim_event, sim_event_compare,
                            NULL);
  return sim_event;
}

/* Release a moment and the bytes of a fetch that it carries.  */
void
sim_event_free (gpointer data)
{
  struct sim_event *sim_event = data;
  struct peer_reply *reply = &sim_event->core_event.u.peer_reply.body;

  if (sim_event->kind == SIM_EVENT_CORE
      && sim_event->core_event.kind == EVENT_PEER_REPLY
      && reply->kind == PEER_FETCH)
    g_free (reply->u.fetch.bytes);
  g_free (sim_event);
}
