#include "tests/evacuation_fixture.h"

/* What a node does about an evacuated data centre: which servers it sends
   requests to, and what it refuses beside its own server.  */

/* Guards against a request that is sent to an evacuated data centre, and
   against one that waits where nothing can serve it.  */
static void
test_pick (void)
{
  struct fixture *fixture = evacuation_fixture ();
  const struct action *action;
  guint i;

  send_request (fixture, "/other/x");
  CU_ASSERT_PTR_NOT_NULL (find_action (fixture, ACTION_FORWARD));
  read_evacuation (fixture, OTHER_ZONE, 4, FALSE);
  for (i = 0; i < fixture->mesh.routing->routes->len; i++)
    g_array_index (fixture->mesh.routing->routes, struct route, i).timeout_usec
        = 0;
  send_request (fixture, "/other/x");
  CU_ASSERT_PTR_NULL (find_action (fixture, ACTION_FORWARD));
  CU_ASSERT_EQUAL (refusal (fixture), REASON_EVACUATED);
  action = find_action (fixture, ACTION_ANSWER);
  /* The caller waits for at most a third of its 2 s.  */
  CU_ASSERT_TRUE (action != NULL && action->u.answer.retry_after_msec >= 600
                  && action->u.answer.retry_after_msec <= 667);
  read_evacuation (fixture, OTHER_ZONE, 5, TRUE);
  send_request (fixture, "/other/x");
  CU_ASSERT_PTR_NOT_NULL (find_action (fixture, ACTION_FORWARD));
  fixture_free (fixture);
}

/* Guards against a server elsewhere that gets no requests, since the request
   was refused at the evacuated server beside the entry node.  */
static void
test_elsewhere (void)
{
  struct fixture *fixture = evacuation_fixture ();
  struct fleet_member *other
      = table_get (&fixture->mesh.fleet.members,
                   fleet_state_find (&fixture->mesh.fleet, "b"));

  struct peer_state *peer = table_get (
      &fixture->mesh.peers, fleet_state_find (&fixture->mesh.fleet, "b"));

  g_strlcpy (other->service, OWN_SERVICE, sizeof other->service);
  peer->load.waiting = 400;
  peer->load_reported_at = fixture->now;
  send_request (fixture, "/own/x");
  CU_ASSERT_PTR_NOT_NULL (find_action (fixture, ACTION_RUN));
  read_evacuation (fixture, OWN_ZONE, 4, FALSE);
  send_request (fixture, "/own/x");
  CU_ASSERT_PTR_NULL (find_action (fixture, ACTION_RUN));
  CU_ASSERT_PTR_NOT_NULL (find_action (fixture, ACTION_FORWARD));
  fixture_free (fixture);
}

/* Guards against a request of a node that has not heard of the evacuation and
   is run beside the evacuated server.  One that runs is not cut off.  */
static void
test_forwarded (void)
{
  struct fixture *fixture = evacuation_fixture ();
  struct handle running = forward_to_node (fixture, "");

  CU_ASSERT_PTR_NOT_NULL (find_action (fixture, ACTION_RUN));
  read_evacuation (fixture, OWN_ZONE, 4, FALSE);
  CU_ASSERT_PTR_NULL (find_action (fixture, ACTION_CANCEL));
  forward_to_node (fixture, "");
  CU_ASSERT_EQUAL (refusal (fixture), REASON_EVACUATED);
  advance (fixture, 2 * BOUND_USEC);
  CU_ASSERT_PTR_NULL (find_action (fixture, ACTION_CANCEL));
  CU_ASSERT_PTR_NOT_NULL (table_get (&fixture->mesh.requests, running));
  fixture_free (fixture);
}

/* Guards against a queued request that starts at the server after the bound,
   and against one that is refused although it can start in time.  */
static void
test_queue (void)
{
  struct fixture *fixture = evacuation_fixture ();
  struct handle first = forward_to_node (fixture, "");
  struct handle second = forward_to_node (fixture, "");

  forward_to_node (fixture, "");
  read_evacuation (fixture, OWN_ZONE, 4, FALSE);
  end_with_status (fixture, first, 200);
  CU_ASSERT_PTR_NOT_NULL (find_action (fixture, ACTION_RUN));
  advance (fixture, SERVED_USEC - 25 * MSEC);
  CU_ASSERT_EQUAL (refusal (fixture), REASON_NONE);
  advance (fixture, 25 * MSEC);
  CU_ASSERT_EQUAL (refusal (fixture), REASON_EVACUATED);
  end_with_status (fixture, second, 200);
  CU_ASSERT_PTR_NULL (find_action (fixture, ACTION_RUN));
  CU_ASSERT_EQUAL (fixture->mesh.admission.queue->len, 0);
  fixture_free (fixture);
}

/* Guards against a key that nobody serves while it is on its way out, and
   against one that is served after the bound.  */
static void
test_held_key (void)
{
  struct fixture *fixture = evacuation_fixture ();

  give_keys (fixture, OWN_SERVICE, "a");
  confirm_proposals (fixture);
  send_heartbeat (fixture, 2);
  read_evacuation (fixture, OWN_ZONE, 4, FALSE);
  end_with_status (fixture, forward_to_node (fixture, "7"), 200);
  CU_ASSERT_EQUAL (refusal (fixture), REASON_NONE);
  fixture->now += SERVED_USEC;
  fixture->mesh.grant.granted_until = G_MAXINT64;
  fixture->mesh.last_tick_at = fixture->now;
  forward_to_node (fixture, "7");
  CU_ASSERT_PTR_NULL (find_action (fixture, ACTION_RUN));
  CU_ASSERT_EQUAL (refusal (fixture), REASON_EVACUATED);
  fixture_free (fixture);
}

/* Guards against requests for a key that go to its evacuated owner after the
   bound, or that are refused as long as the owner serves them.  */
static void
test_owner (void)
{
  struct fixture *fixture = evacuation_fixture ();

  give_keys (fixture, OTHER_SERVICE, "b");
  read_evacuation (fixture, OTHER_ZONE, 4, FALSE);
  gossip_from_other (fixture);
  send_keyed_request (fixture, "/other/x", "17");
  CU_ASSERT_PTR_NOT_NULL (find_action (fixture, ACTION_FORWARD));
  fixture->now += SERVED_USEC;
  gossip_from_other (fixture);
  send_keyed_request (fixture, "/other/x", "17");
  CU_ASSERT_PTR_NULL (find_action (fixture, ACTION_FORWARD));
  CU_ASSERT_EQUAL (refusal (fixture), REASON_EVACUATED);
  fixture_free (fixture);
}

/* Guards against a caller that is refused since the owner of its key, which is
   on its way to another one, was evacuated before this node heard of it.  */
static void
test_key_on_its_way (void)
{
  struct fixture *fixture = evacuation_fixture ();
  struct handle exchange;

  give_keys (fixture, OTHER_SERVICE, "b");
  gossip_from_other (fixture);
  exchange = send_keyed_request (fixture, "/other/x", "17");
  CU_ASSERT_PTR_NOT_NULL (find_action (fixture, ACTION_FORWARD));
  end_attempt (fixture, exchange, OUTCOME_NOT_RUN, REASON_EVACUATED);
  CU_ASSERT_PTR_NULL (find_action (fixture, ACTION_ANSWER));
  advance (fixture, 100 * MSEC);
  CU_ASSERT_PTR_NOT_NULL (find_action (fixture, ACTION_FORWARD));
  fixture_free (fixture);
}

/* Guards against a bound that counts from when the node learned of the
   evacuation, since the operator may have written it long before: the store
   was silent, or the process has just started.  */
static void
test_learned_late (void)
{
  struct fixture *fixture = evacuation_fixture ();

  forward_to_node (fixture, "");
  forward_to_node (fixture, "");
  fixture->now += SERVED_USEC;
  read_evacuation (fixture, OWN_ZONE, 4, FALSE);
  advance (fixture, 25 * MSEC);
  CU_ASSERT_EQUAL (refusal (fixture), REASON_EVACUATED);
  CU_ASSERT_EQUAL (fixture->mesh.admission.queue->len, 0);
  fixture_free (fixture);
}

/* Guards against a server that gets its usual load as soon as its data centre
   is back: it may have become cold.  Its next heartbeat says whether it is. */
static void
test_back (void)
{
  struct fixture *fixture = evacuation_fixture ();
  struct route_service service = { .name = OWN_SERVICE,
                                   .warmup_usec = 3000 * MSEC,
                                   .warmup_milli_per_s = 2000 };
  const struct warmup *warmup = &fixture->mesh.admission.warmup;

  g_array_append_val (fixture->mesh.routing->services, service);
  advance (fixture, 25 * MSEC);
  read_evacuation (fixture, OWN_ZONE, 4, FALSE);
  CU_ASSERT_FALSE (warmup_is_cold (warmup, fixture->now));
  read_evacuation (fixture, OWN_ZONE, 5, TRUE);
  CU_ASSERT_TRUE (warmup_is_cold (warmup, fixture->now));
  send_heartbeat (fixture, 2);
  CU_ASSERT_FALSE (warmup_is_cold (warmup, fixture->now));
  fixture_free (fixture);
}

/* Guards against a process that stood still, was not told of an evacuation and
   goes on sending requests to its server.  Once it has heard how things are,
   or has waited for that in vain, it goes on.  */
static void
test_stood_still (void)
{
  struct fixture *fixture = evacuation_fixture ();

  advance (fixture, 3000 * MSEC);
  forward_to_node (fixture, "");
  CU_ASSERT_PTR_NOT_NULL (find_action (fixture, ACTION_RUN));
  fixture->now += BOUND_USEC;
  forward_to_node (fixture, "");
  CU_ASSERT_EQUAL (refusal (fixture), REASON_NO_CONFIG);
  advance (fixture, 25 * MSEC);
  forward_to_node (fixture, "");
  CU_ASSERT_EQUAL (refusal (fixture), REASON_NO_CONFIG);
  read_config_end (fixture);
  forward_to_node (fixture, "");
  CU_ASSERT_EQUAL (refusal (fixture), REASON_NONE);
  advance (fixture, 2 * BOUND_USEC);
  forward_to_node (fixture, "");
  CU_ASSERT_EQUAL (refusal (fixture), REASON_NO_CONFIG);
  advance (fixture, 900 * MSEC);
  advance (fixture, 900 * MSEC);
  forward_to_node (fixture, "");
  CU_ASSERT_EQUAL (refusal (fixture), REASON_NONE);
  fixture_free (fixture);
}

/* Give the node the record of the member "c" of OTHER_SERVICE in ZONE.  */
static void
add_third_member (struct fixture *fixture, const char *zone)
{
  struct event event = { .kind = EVENT_FLEET_RECORDS };
  struct fleet_entry entry = { .offset = fixture->mesh.fleet.applied_offset,
                               .record.kind = FLEET_MEMBER };
  struct fleet_member *member = &entry.record.u.member;

  g_strlcpy (member->name, "c", sizeof member->name);
  g_strlcpy (member->zone, zone, sizeof member->zone);
  g_strlcpy (member->service, OTHER_SERVICE, sizeof member->service);
  g_strlcpy (member->instance.id, "sc", sizeof member->instance.id);
  member->incarnation = 78;
  member->slots = 4;
  fleet_record_set_key (&entry.record);
  event.u.fleet_records.items = &entry;
  event.u.fleet_records.count = 1;
  event.u.fleet_records.next_offset = entry.offset + 1;
  event.u.fleet_records.complete = TRUE;
  feed_event (fixture, &event);
}

/* Guards against a request that is sent to a server known to be full for
   longer than the request has, since a server that is evacuated, and so has
   no recent load report, counts as one that may have room.  */
static void
test_prospect (void)
{
  struct fixture *fixture = evacuation_fixture ();
  struct peer_state *full;

  set_other_zone (fixture, OWN_ZONE);
  add_third_member (fixture, OTHER_ZONE);
  read_evacuation (fixture, OTHER_ZONE, 10, FALSE);
  full = table_get (&fixture->mesh.peers,
                    fleet_state_find (&fixture->mesh.fleet, "b"));
  full->load.running = full->load.slots = 4;
  full->load.mean_run_usec = 5000 * MSEC;
  full->load_reported_at = fixture->now;
  send_request (fixture, "/other/x");
  CU_ASSERT_EQUAL (refusal (fixture), REASON_OVERLOAD);
  CU_ASSERT_PTR_NULL (find_action (fixture, ACTION_FORWARD));
  fixture_free (fixture);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "pick", test_pick },
                                 { "server elsewhere", test_elsewhere },
                                 { "forwarded request", test_forwarded },
                                 { "prospect", test_prospect },
                                 { "queue", test_queue },
                                 { "held key", test_held_key },
                                 { "owner", test_owner },
                                 { "key on its way", test_key_on_its_way },
                                 { "learned late", test_learned_late },
                                 { "back in service", test_back },
                                 { "process stood still", test_stood_still },
                                 CU_TEST_INFO_NULL };

  return suite_run ("mesh_evacuation", tests);
}
