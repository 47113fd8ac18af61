#include "mesh/mesh_parts.h"
#include "tests/mesh_fixture.h"

/* Which node proposes the maps, and what of them.  */

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

/* Give the node the record of a member "b" that serves SERVICE.  */
static void
record_other (struct fixture *fixture, const char *service, guint64 offset)
{
  struct event event = { .kind = EVENT_FLEET_RECORDS };
  struct fleet_entry entry = { .offset = offset };
  struct fleet_member *member = &entry.record.u.member;

  entry.record.kind = FLEET_MEMBER;
  g_strlcpy (member->name, "b", sizeof member->name);
  g_strlcpy (member->service, service, sizeof member->service);
  g_strlcpy (member->instance.id, "sb", sizeof member->instance.id);
  member->incarnation = 77;
  member->slots = 4;
  fleet_record_set_key (&entry.record);
  event.u.fleet_records.items = &entry;
  event.u.fleet_records.count = 1;
  event.u.fleet_records.next_offset = offset + 1;
  feed_event (fixture, &event);
}

/* Keys whose owner serves another service now are marked lost, though the
   owner is heard: nobody else would ever give them a holder again.  */
static void
test_keys_of_replaced_owner (void)
{
  struct fixture *fixture = start_without_map ();
  struct mesh *mesh = &fixture->mesh;
  struct fleet_entry entry = { .offset = 60, .record.kind = FLEET_MAP };
  struct event event = { .kind = EVENT_FLEET_RECORDS };
  gboolean is_marked = FALSE;
  guint i;

  shard_map_init (&entry.record.u.map, OWN_SERVICE);
  shard_map_at (&entry.record.u.map, 0)->state = SHARD_HELD;
  shard_map_at (&entry.record.u.map, 0)->owner = "b";
  fleet_record_set_key (&entry.record);
  event.u.fleet_records.items = &entry;
  event.u.fleet_records.count = 1;
  event.u.fleet_records.next_offset = 61;
  feed_event (fixture, &event);
  fleet_record_clear (&entry.record);
  record_other (fixture, OTHER_SERVICE, 61);
  for (i = 0; i < 40 && !is_marked; i++)
    {
      gossip_from_other (fixture);
      freshness_confirm (&mesh->freshness[MESH_TOPIC_FLEET], fixture->now, 0);
      advance (fixture, 50 * MSEC);
      is_marked = mesh->proposal.is_pending
                  && mesh->proposal.record.kind == FLEET_MAP
                  && shard_map_at (&mesh->proposal.record.u.map, 0)->state
                         == SHARD_LOST;
    }
  CU_ASSERT_TRUE (is_marked);
  fixture_free (fixture);
}

int
main (void)
{
  CU_TestInfo tests[]
      = { { "another node reads", test_other_reads },
          { "nobody reads", test_nobody_reads },
          { "owner of another service", test_keys_of_replaced_owner },
          CU_TEST_INFO_NULL };

  return suite_run ("mesh_plan", tests);
}
