#include "tests/evacuation_fixture.h"

/* Requests at a node that has not heard of an evacuation.  */

/* Give the node the record of the member NAME of OTHER_SERVICE in ZONE.  */
static void
add_member (struct fixture *fixture, const char *name, const char *zone)
{
  struct event event = { .kind = EVENT_FLEET_RECORDS };
  struct fleet_entry entry = { .offset = fixture->mesh.fleet.applied_offset,
                               .record.kind = FLEET_MEMBER };
  struct fleet_member *member = &entry.record.u.member;

  g_strlcpy (member->name, name, sizeof member->name);
  g_strlcpy (member->zone, zone, sizeof member->zone);
  g_strlcpy (member->service, OTHER_SERVICE, sizeof member->service);
  g_strlcpy (member->instance.id, name, sizeof member->instance.id);
  member->incarnation = (guint64)name[0];
  member->slots = 4;
  fleet_record_set_key (&entry.record);
  event.u.fleet_records.items = &entry;
  event.u.fleet_records.count = 1;
  event.u.fleet_records.next_offset = entry.offset + 1;
  event.u.fleet_records.complete = TRUE;
  feed_event (fixture, &event);
}

/* Return the name of the member that the last step forwarded a request to, or
   an empty text.  */
static const char *
forwarded_to (struct fixture *fixture)
{
  const struct action *action = find_action (fixture, ACTION_FORWARD);
  struct handle h = table_next (&fixture->mesh.requests, HANDLE_NONE);
  const struct mesh_request *request = table_get (&fixture->mesh.requests, h);

  return action != NULL && request != NULL
             ? mesh_member_name (&fixture->mesh, request->sent_to)
             : "";
}

/* Guards against a request that uses up its attempts at servers of one data
   centre, although the first refusal says that it is evacuated and there are
   servers elsewhere.  Those of the own data centre come first.  */
static void
test_elsewhere (void)
{
  struct fixture *fixture = evacuation_fixture ();
  struct handle exchange;

  set_other_zone (fixture, OWN_ZONE);
  add_member (fixture, "c", OWN_ZONE);
  add_member (fixture, "d", OWN_ZONE);
  add_member (fixture, "e", OTHER_ZONE);
  exchange = send_request (fixture, "/other/x");
  CU_ASSERT_PTR_NOT_NULL (find_action (fixture, ACTION_FORWARD));
  CU_ASSERT_STRING_NOT_EQUAL (forwarded_to (fixture), "e");
  end_attempt (fixture, exchange, OUTCOME_NOT_RUN, REASON_EVACUATED);
  CU_ASSERT_STRING_EQUAL (forwarded_to (fixture), "e");
  fixture_free (fixture);
}

/* Guards against attempts in vain at further servers of the data centre, where
   there are none elsewhere: the request is refused for the reason that it was
   told.  */
static void
test_nowhere (void)
{
  struct fixture *fixture = evacuation_fixture ();
  struct handle exchange;

  add_member (fixture, "c", OTHER_ZONE);
  exchange = send_request (fixture, "/other/x");
  end_attempt (fixture, exchange, OUTCOME_NOT_RUN, REASON_EVACUATED);
  CU_ASSERT_PTR_NULL (find_action (fixture, ACTION_FORWARD));
  CU_ASSERT_EQUAL (refusal (fixture), REASON_EVACUATED);
  fixture_free (fixture);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "elsewhere", test_elsewhere },
                                 { "nowhere", test_nowhere },
                                 CU_TEST_INFO_NULL };

  return suite_run ("mesh_evacuation_retry", tests);
}
