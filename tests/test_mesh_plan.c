#include "mesh/mesh_parts.h"
#include "tests/mesh_fixture.h"

/* Which node proposes the maps.  */

/* Return a node "a" whose service is divided and has no map yet.  */
static struct fixture *
start_without_map (void)
{
  struct fixture *fixture = fixture_new ();
  struct route_service service = { .name = OWN_SERVICE, .sharded = TRUE };
  struct event event = { .kind = EVENT_ROUTING };

  event.u.routing.routing = routing_new (2);
  g_array_append_val (event.u.routing.routing->services, service);
  feed_event (fixture, &event);
  return fixture;
}

/* Send gossip of the other node that says that READER reads the fleet's topic,
   read number ROUND.  */
static void
hear_reader (struct fixture *fixture, guint64 reader, guint32 round)
{
  struct event event = { .kind = EVENT_MESH_CALL };
  struct mesh_call call = { .kind = MESH_GOSSIP };

  g_strlcpy (call.u.gossip.name, "b", NAME_SIZE);
  call.u.gossip.incarnation = 77;
  call.u.gossip.applied_offset = fixture->mesh.fleet.applied_offset;
  call.u.gossip.config_version = 2;
  call.u.gossip.claims[READING_FLEET].reader = reader;
  call.u.gossip.claims[READING_FLEET].round = round;
  event.u.mesh_call.call = &call;
  feed_event (fixture, &event);
}

/* Let the node run for 2 s with gossip of the other one, which names READER.
   Return whether it proposes a map.  */
static gboolean
proposes_map (struct fixture *fixture, guint64 reader)
{
  guint32 round;

  for (round = 1; round <= 40; round++)
    {
      freshness_confirm (&fixture->mesh.freshness[MESH_TOPIC_FLEET],
                         fixture->now, 0);
      hear_reader (fixture, reader, round);
      advance (fixture, 50 * MSEC);
      if (fixture->mesh.proposal.is_pending
          && fixture->mesh.proposal.record.kind == FLEET_MAP)
        return TRUE;
    }
  return FALSE;
}

/* The first by name leaves the maps to the node that reads for all: the store
   may not answer the first by name.  */
static void
test_other_reads (void)
{
  struct fixture *fixture = start_without_map ();

  CU_ASSERT_FALSE (proposes_map (fixture, 77));
  fixture_free (fixture);
}

/* While nobody is known to read for all, the first by name proposes them.  */
static void
test_nobody_reads (void)
{
  struct fixture *fixture = start_without_map ();

  CU_ASSERT_TRUE (proposes_map (fixture, 0));
  fixture_free (fixture);
}

int
main (void)
{
  CU_TestInfo tests[] = { { "another node reads", test_other_reads },
                          { "nobody reads", test_nobody_reads },
                          CU_TEST_INFO_NULL };

  return suite_run ("mesh_plan", tests);
}
