#ifndef TESTS_MESH_WORLD_LETTERS_H
#define TESTS_MESH_WORLD_LETTERS_H

#include "tests/mesh_sim_send.h"

/* What becomes of calls to the store and between nodes of a world.  */

/* The store */

/* A record comes to the store.  */
static inline void
take_append (struct world *world, struct letter *letter)
{
  struct letter back = { .kind = LETTER_STORED,
                         .from = letter->from,
                         .server_instance = letter->server_instance,
                         .serial = letter->serial };
  guint via = letter->to != 0 ? letter->to : letter->from;

  if (!has_store (world, via))
    back.code = ERR_UNAVAILABLE;
  else if (letter->at != APPEND_UNCONDITIONAL && letter->at != world->log->len)
    back.code = ERR_CONFLICT;
  else
    {
      struct fleet_record record = copy_record (&letter->record);
      back.at = world->log->len;
      g_array_append_val (world->log, record);
      if (g_rand_int_range (world->random, 0, 20) == 0)
        back.code = ERR_INDETERMINATE;
    }
  post (world, &back, draw_msec (world, 3, 30));
}

/* A read comes to the store.  */
static inline void
take_read (struct world *world, const struct letter *letter)
{
  struct letter back = *letter;

  if (!has_store (world, letter->from))
    return;
  back.kind = LETTER_RECORDS;
  back.at = world->log->len;
  post (world, &back, draw_msec (world, 3, 100));
}

/* Records below NEXT come to node I by a read that began at BEGUN, or from a
   peer where that is 0.  */
static inline void
take_records (struct world *world, guint i, guint64 next, gint64 begun)
{
  struct world_node *node = &world->node[i];
  struct event event = { .kind = EVENT_FLEET_RECORDS };
  GArray *entries = g_array_new (FALSE, TRUE, sizeof (struct fleet_entry));
  guint64 at;

  if (!node->up || world->now < node->frozen_until)
    {
      g_array_free (entries, TRUE);
      return;
    }
  for (at = node->read; at < next; at++)
    {
      struct fleet_entry entry
          = { at, g_array_index (world->log, struct fleet_record, at) };
      g_array_append_val (entries, entry);
    }
  node->read = MAX (node->read, next);
  event.u.fleet.items = (const void *)entries->data;
  event.u.fleet.count = entries->len;
  event.u.fleet.next_offset = next;
  event.u.fleet.complete = TRUE;
  event.u.fleet.at_end = begun != 0;
  event.u.fleet.started_at = begun;
  tell (world, i, &event);
  g_array_free (entries, TRUE);
}

/* Letters */

/* A call comes to the node that LETTER goes to.  */
static inline void
take_call (struct world *world, const struct letter *letter)
{
  struct event event = { .kind = EVENT_MESH_CALL };
  const struct world_node *to = &world->node[letter->to];

  if (to->cut || world->node[letter->from].cut || !to->up)
    return;
  if (letter->call.kind == MESH_FETCH)
    {
      take_records (world, letter->from, to->mesh.fleet.applied_offset, 0);
      return;
    }
  event.u.mesh_call.link.bits = letter->from;
  event.u.mesh_call.xid = (guint32)letter->serial;
  event.u.mesh_call.call = &letter->call;
  tell (world, letter->to, &event);
}

/* The call that LETTER made is answered: it does not time out.  */
static inline void
answered (struct world *world, const struct letter *letter)
{
  guint i;

  for (i = 0; i < world->letters->len; i++)
    {
      const struct letter *other
          = &g_array_index (world->letters, struct letter, i);
      if (other->kind == LETTER_TIMEOUT && other->from == letter->to
          && other->serial == letter->serial)
        {
          g_array_remove_index (world->letters, i);
          return;
        }
    }
}

/* No reply came.  */
static inline void
take_timeout (struct world *world, const struct letter *letter)
{
  struct mesh_reply reply
      = { .kind = letter->call.kind, .code = ERR_INDETERMINATE };
  struct event event = { .kind = EVENT_MESH_REPLY };

  event.u.mesh_reply.serial = letter->serial;
  event.u.mesh_reply.member = letter->member;
  event.u.mesh_reply.reply = &reply;
  if (world->node[letter->from].server_instance == letter->server_instance)
    tell (world, letter->from, &event);
}

/* A reply to a pulse comes back.  The caller finds the callee by its name.  */
static inline void
take_reply (struct world *world, const struct letter *letter)
{
  struct world_node *to = &world->node[letter->to];
  struct event event = { .kind = EVENT_MESH_REPLY };

  if (to->cut || world->node[letter->from].cut || !to->up)
    return;
  answered (world, letter);
  event.u.mesh_reply.serial = letter->serial;
  event.u.mesh_reply.member
      = fleet_state_find (&to->mesh.fleet, letter->reply.u.gossip.name);
  event.u.mesh_reply.reply = &letter->reply;
  tell (world, letter->to, &event);
}

#endif
