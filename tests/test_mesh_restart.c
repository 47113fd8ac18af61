#include "mesh/mesh_parts.h"
#include "tests/mesh_fixture.h"

/* A process that starts in place of an earlier one of the same node, whose
   last append may still be carried out.  */

#define EARLIER_INCARNATION 4u
#define FIRST_END 2u /* end of the topic at the first read */

/* Records that are read.  */
struct reading
{
  struct fleet_entry entries[2]; /* the records */
  guint32 count;                 /* entries in use */
};

/* Add the record of the node at OFFSET, written by the process
   INCARNATION.  */
static void
add_own_member (struct reading *reading, guint64 offset, guint64 incarnation)
{
  struct fleet_entry *entry = &reading->entries[reading->count++];
  struct fleet_member *member = &entry->record.u.member;

  entry->offset = offset;
  entry->record.kind = FLEET_MEMBER;
  g_strlcpy (member->name, "a", sizeof member->name);
  g_strlcpy (member->service, OWN_SERVICE, sizeof member->service);
  g_strlcpy (member->instance.id, "sa", sizeof member->instance.id);
  member->instance.started_at_msec = 5;
  member->incarnation = incarnation;
  member->slots = 1;
  fleet_record_set_key (&entry->record);
}

/* Add a map at OFFSET that gives all keys to OWNER.  */
static void
add_map (struct reading *reading, guint64 offset, const char *owner)
{
  struct fleet_entry *entry = &reading->entries[reading->count++];
  struct shard *shard;

  entry->offset = offset;
  entry->record.kind = FLEET_MAP;
  shard_map_init (&entry->record.u.map, OWN_SERVICE);
  shard = shard_map_at (&entry->record.u.map, 0);
  shard->state = SHARD_HELD;
  shard->fence = offset + 1;
  entry->record.u.map.next_fence = offset + 2;
  shard->owner = g_intern_string (owner);
  g_strlcpy (shard->instance.id, owner[0] == 'a' ? "sa" : "sb",
             sizeof shard->instance.id);
  shard->instance.started_at_msec = 5;
  fleet_record_set_key (&entry->record);
}

/* Pass what READING holds to the node, which then has read the topic up to its
   end at NEXT_OFFSET, and clear READING.  */
static void
read_records (struct fixture *fixture, struct reading *reading,
              guint64 next_offset)
{
  struct event event = { .kind = EVENT_FLEET_RECORDS };
  guint32 i;

  event.u.fleet_records.items = reading->entries;
  event.u.fleet_records.count = reading->count;
  event.u.fleet_records.next_offset = next_offset;
  event.u.fleet_records.complete = TRUE;
  event.u.fleet_records.at_end = TRUE;
  event.u.fleet_records.started_at = fixture->now;
  feed_event (fixture, &event);
  for (i = 0; i < reading->count; i++)
    fleet_record_clear (&reading->entries[i].record);
  memset (reading, 0, sizeof *reading);
}

/* Return a node that has started and read that all keys belong to its server,
   which its earlier process had recorded.  Its server is told its keys by
   METHOD.  */
static struct fixture *
start_again (enum grant_method method)
{
  struct fixture *fixture = fixture_start_by (method);
  struct reading reading = { .count = 0 };

  add_services (fixture);
  read_config_end (fixture);
  add_own_member (&reading, 0, EARLIER_INCARNATION);
  add_map (&reading, 1, "a");
  read_records (fixture, &reading, FIRST_END);
  CU_ASSERT_TRUE (fixture->mesh.proposal.is_pending);
  CU_ASSERT_EQUAL (fixture->mesh.proposal.record.kind, FLEET_MEMBER);
  return fixture;
}

/* Let the append of the node's own record end with CODE at OFFSET.  */
static void
end_append (struct fixture *fixture, enum err code, guint64 offset)
{
  struct event event = { .kind = EVENT_STORE_APPENDED };

  event.u.store_appended.serial = fixture->mesh.proposal.serial;
  event.u.store_appended.code = code;
  event.u.store_appended.offset = offset;
  feed_event (fixture, &event);
}

/* Return whether the last step, a heartbeat, granted the server keys.  */
static gboolean
was_granted (const struct fixture *fixture)
{
  const struct action *action = find_action (fixture, ACTION_HEARTBEAT_ANSWER);

  CU_ASSERT_PTR_NOT_NULL (action);
  return action != NULL && action->u.heartbeat_answer.answer->renews_grant
         && action->u.heartbeat_answer.answer->range_count > 0;
}

/* Guards against two holders of a key after a restart: the earlier process
   gave the keys away in a map whose append is carried out late.  Nothing is
   granted until a record of this process stands in the topic, and then only
   what the records before it leave to the server.  */
static void
test_late_map (void)
{
  struct fixture *fixture = start_again (GRANT_BY_ANSWER);
  struct reading reading = { .count = 0 };

  send_heartbeat (fixture, 1);
  CU_ASSERT_FALSE (was_granted (fixture));
  end_append (fixture, ERR_INDETERMINATE, 0);
  fixture->now += 900 * MSEC;
  send_heartbeat (fixture, 2);
  CU_ASSERT_FALSE (was_granted (fixture));
  CU_ASSERT_TRUE (fixture->mesh.proposal.is_pending);

  end_append (fixture, ERR_NONE, FIRST_END + 1);
  CU_ASSERT_PTR_NOT_NULL (find_action (fixture, ACTION_READ_TOPIC));
  send_heartbeat (fixture, 3);
  CU_ASSERT_FALSE (was_granted (fixture));
  add_map (&reading, FIRST_END, "b");
  read_records (fixture, &reading, FIRST_END + 2);
  send_heartbeat (fixture, 4);
  CU_ASSERT_FALSE (was_granted (fixture));
  fixture_free (fixture);
}

/* Where nothing came before it, the one append of its record is all that a
   process waits for.  */
static void
test_one_write (void)
{
  struct fixture *fixture = start_again (GRANT_BY_ANSWER);

  end_append (fixture, ERR_NONE, FIRST_END);
  CU_ASSERT_PTR_NULL (find_action (fixture, ACTION_READ_TOPIC));
  send_heartbeat (fixture, 1);
  CU_ASSERT_TRUE (was_granted (fixture));
  fixture_free (fixture);
}

/* The same for keys that are granted by calls.  */
static void
test_by_call (void)
{
  struct fixture *fixture = start_again (GRANT_BY_CALL);

  send_heartbeat (fixture, 1);
  CU_ASSERT_PTR_NULL (find_action (fixture, ACTION_KEY_ORDER));
  advance (fixture, 25 * MSEC);
  CU_ASSERT_PTR_NULL (find_action (fixture, ACTION_KEY_ORDER));
  end_append (fixture, ERR_NONE, FIRST_END);
  advance (fixture, 100 * MSEC);
  CU_ASSERT_PTR_NOT_NULL (find_action (fixture, ACTION_KEY_ORDER));
  fixture_free (fixture);
}

/* Guards against requests that reach a server which has announced to the
   earlier process that it leaves: a request for a key that the server held
   waits for the server's first heartbeat.  */
static void
test_key_waits (void)
{
  struct fixture *fixture = start_again (GRANT_BY_ANSWER);

  end_append (fixture, ERR_NONE, FIRST_END);
  send_keyed_request (fixture, "/own/x", "17");
  CU_ASSERT_PTR_NULL (find_action (fixture, ACTION_RUN));
  CU_ASSERT_PTR_NULL (find_action (fixture, ACTION_ANSWER));
  advance (fixture, 25 * MSEC);
  CU_ASSERT_PTR_NULL (find_action (fixture, ACTION_RUN));
  send_heartbeat (fixture, 1);
  advance (fixture, 25 * MSEC);
  CU_ASSERT_PTR_NOT_NULL (find_action (fixture, ACTION_RUN));
  fixture_free (fixture);
}

/* A process plans for all nodes only then, too: it is the first by name here,
   and the keys are free.  */
static void
test_plans_later (void)
{
  struct fixture *fixture = start_again (GRANT_BY_ANSWER);

  CU_ASSERT_EQUAL (mesh_session_usec (&fixture->mesh, fixture->now), 0);
  end_append (fixture, ERR_NONE, FIRST_END);
  CU_ASSERT_TRUE (mesh_session_usec (&fixture->mesh, fixture->now) > 0);
  fixture_free (fixture);
}

/* A node that the store does not know had no earlier process that owned keys,
   if the store itself was read.  */
static void
test_first_start (void)
{
  struct fixture *fixture = fixture_start ();
  struct reading reading = { .count = 0 };

  read_records (fixture, &reading, 0);
  CU_ASSERT_TRUE (mesh_session_usec (&fixture->mesh, fixture->now) > 0);
  fixture_free (fixture);
}

int
main (void)
{
  CU_TestInfo tests[] = { { "late map of the earlier process", test_late_map },
                          { "no more than one write", test_one_write },
                          { "keys by call", test_by_call },
                          { "key waits for a heartbeat", test_key_waits },
                          { "plans later", test_plans_later },
                          { "first start", test_first_start },
                          CU_TEST_INFO_NULL };

  return suite_run ("mesh_restart", tests);
}
