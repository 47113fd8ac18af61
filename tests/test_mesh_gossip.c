#include "mesh/mesh_parts.h"
#include "tests/mesh_fixture.h"

/* When a node tells others what it has read, and fetches what they have.  */

#define TICK_USEC (25 * MSEC)

/* Give the node a record that changes nothing for the other one.  */
static void
add_record (struct fixture *fixture)
{
  struct event event = { .kind = EVENT_FLEET_RECORDS };
  struct fleet_entry entry = { .offset = fixture->mesh.fleet.applied_offset };

  entry.record.kind = FLEET_SUSPECT;
  entry.record.u.suspect.digest = 7;
  fleet_record_set_key (&entry.record);
  event.u.fleet_records.items = &entry;
  event.u.fleet_records.count = 1;
  event.u.fleet_records.next_offset = entry.offset + 1;
  feed_event (fixture, &event);
}

/* Answer CALL, a gossip message, as a node that has not read the record.  */
static void
answer_gossip (struct fixture *fixture, const struct action_mesh_call *call)
{
  struct mesh_reply reply = { .kind = MESH_GOSSIP };
  struct event event = { .kind = EVENT_MESH_REPLY };

  g_strlcpy (reply.u.gossip.name, "b", NAME_SIZE);
  reply.u.gossip.incarnation = 77;
  reply.u.gossip.applied_offset = 1;
  reply.u.gossip.config_version = 1;
  reply.u.gossip.load.slots = 4;
  event.u.mesh_reply.serial = call->serial;
  event.u.mesh_reply.member = call->member;
  event.u.mesh_reply.reply = &reply;
  feed_event (fixture, &event);
}

/* Return how many gossip messages the node sends in USEC, each of which is
   answered, and whose first is in the actions of the last step.  */
static guint
count_gossip (struct fixture *fixture, gint64 usec)
{
  gint64 until = fixture->now + usec;
  guint count = 0;

  while (fixture->now < until)
    {
      const struct action *action = find_action (fixture, ACTION_MESH_CALL);
      if (action != NULL && action->u.mesh_call.call.kind == MESH_GOSSIP)
        {
          struct action_mesh_call call = action->u.mesh_call;
          count++;
          answer_gossip (fixture, &call);
        }
      advance (fixture, TICK_USEC);
    }
  return count;
}

/* A record is announced once to a neighbour that has not read it, not again
   until the next regular message.  */
static void
test_announced_once (void)
{
  struct fixture *fixture = fixture_new ();

  count_gossip (fixture, 1000 * MSEC);
  while (find_action (fixture, ACTION_MESH_CALL) == NULL)
    advance (fixture, TICK_USEC);
  count_gossip (fixture, 100 * MSEC);
  add_record (fixture);
  CU_ASSERT_EQUAL (count_gossip (fixture, 200 * MSEC), 1);
  fixture_free (fixture);
}

/* Tell the node that the other one has read all records below OFFSET.  */
static void
gossip_ahead (struct fixture *fixture, guint64 offset)
{
  struct event event = { .kind = EVENT_MESH_CALL };
  struct mesh_call call = { .kind = MESH_GOSSIP };

  g_strlcpy (call.u.gossip.name, "b", NAME_SIZE);
  call.u.gossip.incarnation = 77;
  call.u.gossip.applied_offset = offset;
  call.u.gossip.config_version = 1;
  event.u.mesh_call.call = &call;
  feed_event (fixture, &event);
}

/* Return whether the last step asked for a fetch.  */
static gboolean
has_fetch (const struct fixture *fixture)
{
  guint i;

  for (i = 0; i < fixture->actions.items->len; i++)
    {
      const struct action *action = actions_at (&fixture->actions, i);
      if (action->kind == ACTION_MESH_CALL
          && action->u.mesh_call.call.kind == MESH_FETCH)
        return TRUE;
    }
  return FALSE;
}

/* A fetch that comes too soon after another is made later, without a further
   message.  */
static void
test_fetch_deferred (void)
{
  struct fixture *fixture = fixture_new ();
  guint64 offset = fixture->mesh.fleet.applied_offset;
  gboolean fetched = FALSE;
  guint i;

  fixture->mesh.store_lost = TRUE;
  gossip_ahead (fixture, offset + 5);
  CU_ASSERT_TRUE (has_fetch (fixture));
  fixture->now += 20 * MSEC;
  gossip_ahead (fixture, offset + 6);
  CU_ASSERT_FALSE (has_fetch (fixture));
  for (i = 0; i < 5; i++)
    {
      advance (fixture, TICK_USEC);
      fetched = fetched || has_fetch (fixture);
    }
  CU_ASSERT_TRUE (fetched);
  fixture_free (fixture);
}

int
main (void)
{
  CU_TestInfo tests[]
      = { { "a record is announced once", test_announced_once },
          { "a fetch is deferred", test_fetch_deferred },
          CU_TEST_INFO_NULL };

  return suite_run ("mesh_gossip", tests);
}
