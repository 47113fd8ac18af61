#include "tests/evacuation_fixture.h"

/* What nodes tell each other of evacuations.  */

/* Guards against a node that is told that its copy is recent by one that knows
   of an evacuation which is not in force here, or by one of an older version,
   which knows of none.  */
static void
test_confirmation (void)
{
  struct fixture *fixture = evacuation_fixture ();
  struct gossip gossip = { .evacuated.offset = 4 };

  CU_ASSERT_FALSE (mesh_evacuation_is_confirmed_by (&fixture->mesh, &gossip));
  read_evacuation (fixture, OTHER_ZONE, 3, FALSE);
  CU_ASSERT_TRUE (mesh_evacuation_is_confirmed_by (&fixture->mesh, &gossip));
  gossip.evacuated.offset = 3;
  CU_ASSERT_TRUE (mesh_evacuation_is_confirmed_by (&fixture->mesh, &gossip));
  gossip.evacuated.offset = 0;
  CU_ASSERT_FALSE (mesh_evacuation_is_confirmed_by (&fixture->mesh, &gossip));
  fixture_free (fixture);
}

/* Guards against an evacuation that waits for the next regular message, and
   against messages beyond those where nothing has changed.  */
static void
test_told_at_once (void)
{
  struct fixture *fixture = evacuation_fixture ();
  struct event event = { .kind = EVENT_MESH_REPLY };
  struct mesh_reply failed
      = { .kind = MESH_GOSSIP, .code = ERR_INDETERMINATE };
  struct peer_state *other = table_get (
      &fixture->mesh.peers, fleet_state_find (&fixture->mesh.fleet, "b"));
  const struct action *action;

  event.u.mesh_reply.member = fleet_state_find (&fixture->mesh.fleet, "b");
  event.u.mesh_reply.reply = &failed;
  event.u.mesh_reply.serial = other->gossip_serial;
  feed_event (fixture, &event);
  advance (fixture, 400 * MSEC);
  CU_ASSERT_PTR_NOT_NULL (find_action (fixture, ACTION_MESH_CALL));
  event.u.mesh_reply.serial = other->gossip_serial;
  feed_event (fixture, &event);
  advance (fixture, 75 * MSEC);
  CU_ASSERT_PTR_NULL (find_action (fixture, ACTION_MESH_CALL));
  read_evacuation (fixture, OTHER_ZONE, 3, FALSE);
  action = find_action (fixture, ACTION_MESH_CALL);
  CU_ASSERT_TRUE (action != NULL
                  && action->u.mesh_call.call.u.gossip.evacuated.count == 1);
  event.u.mesh_reply.serial = other->gossip_serial;
  feed_event (fixture, &event);
  advance (fixture, 75 * MSEC);
  CU_ASSERT_PTR_NULL (find_action (fixture, ACTION_MESH_CALL));
  fixture_free (fixture);
}

/* Guards against a process that starts while the store is silent and sends
   requests to an evacuated data centre: the first node that calls it tells it
   of the set, though it knows no members yet.  */
static void
test_start_without_store (void)
{
  struct fixture *fixture = fixture_start ();
  struct event event = { .kind = EVENT_MESH_CALL };
  struct mesh_call call = { .kind = MESH_GOSSIP };

  g_strlcpy (fixture->mesh.settings.zone, OWN_ZONE, NAME_SIZE);
  g_strlcpy (call.u.gossip.name, "b", NAME_SIZE);
  call.u.gossip.evacuated.offset = 9;
  call.u.gossip.evacuated.count = 1;
  call.u.gossip.evacuated.names[0] = OWN_ZONE;
  event.u.mesh_call.call = &call;
  feed_event (fixture, &event);
  CU_ASSERT_TRUE (mesh_evacuation_is_local (&fixture->mesh));
  send_heartbeat (fixture, 1);
  forward_to_node (fixture, "");
  CU_ASSERT_PTR_NULL (find_action (fixture, ACTION_RUN));
  CU_ASSERT_EQUAL (refusal (fixture), REASON_EVACUATED);
  fixture_free (fixture);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "confirmation", test_confirmation },
          { "told at once", test_told_at_once },
          { "start without store", test_start_without_store },
          CU_TEST_INFO_NULL };

  return suite_run ("mesh_evacuation_gossip", tests);
}
