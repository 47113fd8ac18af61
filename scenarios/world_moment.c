#include "scenarios/world.h"

/* What is to happen, in order of time.  */

/* Order two moments by time, then by when they were made.  */
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

/* Add a moment of KIND that concerns node N at AT.  Only the time and serial
   order it, so that the rest may be filled in later.  */
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

/* Release a moment and the bytes of a fetch that it carries.  */
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
