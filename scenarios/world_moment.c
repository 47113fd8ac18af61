#include "scenarios/world.h"

/* The queue of scheduled events.  */

/* Order two events by due time, then by order of scheduling.  */
gint
moment_compare (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct moment *left = a;
  const struct moment *right = b;

  (void)data;
  if (left->at != right->at)
    return left->at < right->at ? -1 : 1;
  return left->serial < right->serial ? -1 : left->serial > right->serial;
}

/* Schedule an event of KIND for node N at AT.  Only the due time and the
   serial determine its position in the queue, so that the caller may fill in
   the other fields afterwards.  */
struct moment *
world_add (struct world *world, gint64 at, enum moment_kind kind, guint n)
{
  struct moment *moment = g_new0 (struct moment, 1);

  moment->at = at;
  moment->serial = ++world->moment_serial;
  moment->kind = kind;
  moment->node = n;
  moment->incarnation = world->nodes[n].incarnation;
  g_sequence_insert_sorted (world->moments, moment, moment_compare, NULL);
  return moment;
}

/* Free an event and the bytes of a fetch reply that it carries.  */
void
moment_free (gpointer data)
{
  struct moment *moment = data;
  struct peer_reply *reply = &moment->event.u.peer_reply.body;

  if (moment->kind == MOMENT_EVENT && moment->event.kind == EVENT_PEER_REPLY
      && reply->kind == PEER_FETCH)
    g_free (reply->u.fetch.bytes);
  g_free (moment);
}
