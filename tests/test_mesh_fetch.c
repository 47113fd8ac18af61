#include "mesh/mesh_parts.h"
#include "tests/mesh_fixture.h"

/* What a node fetches from others that have read more.  */

#define NEWER_VERSION 5u

/* Return the fetch among the actions of FIXTURE, or NULL.  */
static const struct action_mesh_call *
find_fetch (const struct fixture *fixture)
{
  guint i;

  for (i = 0; i < fixture->actions.items->len; i++)
    {
      const struct action *action = actions_at (&fixture->actions, i);
      if (action->kind == ACTION_MESH_CALL
          && action->u.mesh_call.call.kind == MESH_FETCH)
        return &action->u.mesh_call;
    }
  return NULL;
}

/* Send gossip of the node NAME, which has applied the records below OFFSET and
   has the configuration VERSION.  Return the fetch that the node makes then,
   or NULL.  */
static const struct action_mesh_call *
hear (struct fixture *fixture, const char *name, guint64 offset,
      guint64 version)
{
  struct event event = { .kind = EVENT_MESH_CALL };
  struct mesh_call call = { .kind = MESH_GOSSIP };

  g_strlcpy (call.u.gossip.name, name, NAME_SIZE);
  call.u.gossip.incarnation = 77;
  call.u.gossip.applied_offset = offset;
  call.u.gossip.config_version = version;
  event.u.mesh_call.call = &call;
  feed_event (fixture, &event);
  return find_fetch (fixture);
}

/* Send gossip of the other node, which has a newer configuration.  Return the
   fetch that the node makes then, or NULL.  */
static const struct action_mesh_call *
hear_newer (struct fixture *fixture)
{
  return hear (fixture, "b", fixture->mesh.fleet.applied_offset,
               NEWER_VERSION);
}

/* Return whether the node asks for a configuration when it hears of a newer
   one.  Store the serial of its fetch at SERIAL.  */
static gboolean
asks_for_config (struct fixture *fixture, guint64 *serial)
{
  const struct action_mesh_call *fetch = hear_newer (fixture);

  CU_ASSERT_PTR_NOT_NULL (fetch);
  *serial = fetch != NULL ? fetch->serial : 0;
  return fetch != NULL && fetch->call.u.fetch.config_version < NEWER_VERSION;
}

/* Return a node that is behind the other one for long enough to fetch.  */
static struct fixture *
start_behind (void)
{
  struct fixture *fixture = fixture_new ();

  fixture->mesh.store_lost = TRUE;
  fixture->now += 500 * MSEC;
  return fixture;
}

/* Guards against the same configuration fetched several times at once: a long
   one fills slow links for seconds, and none arrives in time.  */
static void
test_one_config_at_a_time (void)
{
  struct fixture *fixture = start_behind ();
  guint64 first;
  guint64 serial;

  CU_ASSERT_TRUE (asks_for_config (fixture, &first));
  fixture->now += 150 * MSEC;
  CU_ASSERT_FALSE (asks_for_config (fixture, &serial));
  fixture->now += 150 * MSEC;
  CU_ASSERT_FALSE (asks_for_config (fixture, &serial));
  fixture_free (fixture);
}

/* After a fetch that failed, or that was not answered in time, the next one
   asks again.  */
static void
test_asks_again (void)
{
  struct fixture *fixture = start_behind ();
  struct event event = { .kind = EVENT_MESH_REPLY };
  struct mesh_reply failed = { .kind = MESH_FETCH, .code = ERR_INDETERMINATE };
  guint64 serial;

  CU_ASSERT_TRUE (asks_for_config (fixture, &serial));
  event.u.mesh_reply.serial = serial;
  event.u.mesh_reply.reply = &failed;
  feed_event (fixture, &event);
  fixture->now += 150 * MSEC;
  CU_ASSERT_TRUE (asks_for_config (fixture, &serial));
  fixture->now += 2000 * MSEC;
  CU_ASSERT_TRUE (asks_for_config (fixture, &serial));
  fixture_free (fixture);
}

/* Guards against a late configuration beside many new records: a fetch from a
   node that is ahead by records only does not hold back the one from a node
   that has a newer configuration.  */
static void
test_records_do_not_hold_back (void)
{
  struct fixture *fixture = start_behind ();
  const struct action_mesh_call *fetch;
  guint64 serial;

  fetch = hear (fixture, "b", fixture->mesh.fleet.applied_offset + 9,
                mesh_routing_version (&fixture->mesh));
  CU_ASSERT_TRUE (fetch != NULL
                  && fetch->call.u.fetch.config_version == FETCH_NO_CONFIG);
  fixture->now += 110 * MSEC;
  CU_ASSERT_TRUE (asks_for_config (fixture, &serial));
  fixture_free (fixture);
}

/* Give the node the record of a third member, "c".  */
static void
add_third_member (struct fixture *fixture)
{
  struct event event = { .kind = EVENT_FLEET_RECORDS };
  guint64 offset = fixture->mesh.fleet.applied_offset;
  struct fleet_entry entry = { .offset = offset, .record.kind = FLEET_MEMBER };
  struct fleet_member *member = &entry.record.u.member;

  g_strlcpy (member->name, "c", sizeof member->name);
  member->incarnation = 78;
  fleet_record_set_key (&entry.record);
  event.u.fleet_records.items = &entry;
  event.u.fleet_records.count = 1;
  event.u.fleet_records.next_offset = offset + 1;
  event.u.fleet_records.complete = TRUE;
  feed_event (fixture, &event);
}

/* Return the fetch of a configuration that the node makes within USEC without
   any message, or NULL.  */
static const struct action_mesh_call *
fetch_by_itself (struct fixture *fixture, gint64 usec)
{
  struct event tick = { .kind = EVENT_TICK };
  gint64 until = fixture->now + usec;

  while (fixture->now < until)
    {
      const struct action_mesh_call *fetch;
      fixture->now += 25 * MSEC;
      feed_event (fixture, &tick);
      fetch = find_fetch (fixture);
      if (fetch != NULL && fetch->call.u.fetch.config_version < NEWER_VERSION)
        return fetch;
    }
  return NULL;
}

/* Guards against a node that waits for the next message of one that is ahead:
   after a fetch that is not answered the other node that is ahead is asked,
   and then the first one again.  */
static void
test_fetches_again_by_itself (void)
{
  struct fixture *fixture = start_behind ();
  const struct action_mesh_call *fetch;
  struct handle first;
  guint64 serial;

  add_third_member (fixture);
  CU_ASSERT_TRUE (asks_for_config (fixture, &serial));
  first = fleet_state_find (&fixture->mesh.fleet, "b");
  fixture->now += 10 * MSEC;
  hear (fixture, "c", fixture->mesh.fleet.applied_offset, NEWER_VERSION);
  fetch = fetch_by_itself (fixture, 600 * MSEC);
  CU_ASSERT_TRUE (fetch != NULL && !handle_equal (fetch->member, first));
  fetch = fetch_by_itself (fixture, 1500 * MSEC);
  CU_ASSERT_TRUE (fetch != NULL && handle_equal (fetch->member, first));
  fixture_free (fixture);
}

/* Guards against a node that speaks and does not answer, as behind a link that
   carries one way only, and is asked in place of others: it is not asked
   again at its next message, and one that comes to be ahead is asked at once.
 */
static void
test_unanswered_leaves_room (void)
{
  struct fixture *fixture = start_behind ();
  const struct action_mesh_call *fetch;
  guint64 offset;
  guint64 serial;

  add_third_member (fixture);
  offset = fixture->mesh.fleet.applied_offset;
  CU_ASSERT_TRUE (asks_for_config (fixture, &serial));
  fixture->now += 500 * MSEC;
  CU_ASSERT_FALSE (asks_for_config (fixture, &serial));
  fixture->now += 110 * MSEC;
  fetch = hear (fixture, "c", offset, NEWER_VERSION);
  CU_ASSERT_TRUE (fetch != NULL
                  && fetch->call.u.fetch.config_version < NEWER_VERSION);
  fixture_free (fixture);
}

/* Tell the node that the other one, which has a newer configuration, reads the
   topics for all nodes; its read number ROUND was just answered.  */
static void
hear_reader (struct fixture *fixture, guint32 round)
{
  struct event event = { .kind = EVENT_MESH_CALL };
  struct mesh_call call = { .kind = MESH_GOSSIP };
  guint slot;

  g_strlcpy (call.u.gossip.name, "b", NAME_SIZE);
  call.u.gossip.incarnation = 77;
  call.u.gossip.applied_offset = fixture->mesh.fleet.applied_offset;
  call.u.gossip.config_version = NEWER_VERSION;
  for (slot = 0; slot < READING_SLOTS; slot++)
    call.u.gossip.claims[slot]
        = (struct reading_claim){ .reader = 77, .round = round };
  event.u.mesh_call.call = &call;
  feed_event (fixture, &event);
}

/* Let 25 ms pass in which the node hears the other one, whose read number
   ROUND was answered.  Return whether the node begins to read the operator's
   topic itself.  */
static gboolean
reads_config (struct fixture *fixture, guint32 round)
{
  struct event tick = { .kind = EVENT_TICK };
  guint i;

  hear_reader (fixture, round);
  fixture->now += 25 * MSEC;
  feed_event (fixture, &tick);
  for (i = 0; i < fixture->actions.items->len; i++)
    {
      const struct action *action = actions_at (&fixture->actions, i);
      if (action->kind == ACTION_READ_TOPIC
          && action->u.read_topic.topic == MESH_TOPIC_CONFIG)
        return TRUE;
    }
  return FALSE;
}

/* Guards against a node that goes on without a version that it knows of: if
   those that have it do not answer, the node reads the store itself, though
   another one holds the duty of that and its own copy is not old.  */
static void
test_reads_when_behind (void)
{
  struct fixture *fixture = fixture_new ();
  gint64 start = fixture->now;
  gboolean reads = FALSE;
  guint32 round = 1;

  read_config_end (fixture);
  while (!reads && fixture->now < start + 1500 * MSEC)
    reads = reads_config (fixture, round++);
  CU_ASSERT_TRUE (reads);
  CU_ASSERT_TRUE (fixture->now - start >= 1000 * MSEC);
  fixture_free (fixture);
}

/* Guards against calls to the store without end: another node tells of a
   version that the store does not have, and does not send it.  */
static void
test_version_not_in_store (void)
{
  struct fixture *fixture = fixture_new ();
  gint64 until = fixture->now + 10000 * MSEC;
  guint reads = 0;
  guint32 round = 1;

  while (fixture->now < until)
    if (reads_config (fixture, round++))
      {
        reads++;
        read_config_end (fixture);
      }
  CU_ASSERT_TRUE (reads >= 1);
  CU_ASSERT_TRUE (reads <= 6);
  fixture_free (fixture);
}

int
main (void)
{
  CU_TestInfo tests[]
      = { { "one configuration at a time", test_one_config_at_a_time },
          { "asks again", test_asks_again },
          { "records do not hold back", test_records_do_not_hold_back },
          { "fetches again by itself", test_fetches_again_by_itself },
          { "unanswered leaves room", test_unanswered_leaves_room },
          { "reads when behind", test_reads_when_behind },
          { "version not in the store", test_version_not_in_store },
          CU_TEST_INFO_NULL };

  return suite_run ("mesh_fetch", tests);
}
