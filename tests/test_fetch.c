#include "tests/fake_log.h"
#include "tests/fixture.h"
#include "tests/suite.h"

#define READ_ALL 1000
#define SECOND ((gint64)1000000)

/* Report to NODE that a read of the log failed.  */
static void
fail_read (struct fake_node *node)
{
  struct event event = { .kind = EVENT_LOG_FAILED };

  event.u.log_failed.code = ERR_UNAVAILABLE;
  fake_node_step (node, &event);
}

/* Let NODE read and tick a few times.  */
static void
read_and_tick (struct fake_node *node)
{
  guint i;

  for (i = 0; i < 8; i++)
    {
      fake_node_read (node, READ_ALL);
      fake_node_tick (node, 250000);
    }
}

/* Start OLD, which has read the log, and NEW, which has not and has OLD as its
   seed.  */
static void
set_up (struct fake_log *log, struct fake_node *old, struct fake_node *new)
{
  struct record record = { .version = RECORD_VERSION, .kind = RECORD_CONFIG };

  fake_log_init (log);
  record.body.config.text = (char *)FIXTURE_CONFIG;
  fake_log_append (log, &record);
  fake_node_init (old, log, 1);
  read_and_tick (old);
  fake_node_init (new, log, 2);
  new->core.settings.seed_peers[0] = old->core.settings.peer_address;
  new->core.settings.seed_peer_count = 1;
}

/* Release the log and the nodes.  */
static void
tear_down (struct fake_log *log, struct fake_node *old, struct fake_node *new)
{
  g_clear_pointer (&old->served, g_byte_array_unref);
  g_clear_pointer (&new->served, g_byte_array_unref);
  core_clear (&old->core);
  core_clear (&new->core);
  fake_log_clear (log);
}

/* While the log is unreachable, a node starts with a snapshot of its seed,
   fetched page by page.  It takes no part in ownership before it has read to
   the end of the log itself.  */
static void
test_start_from_peer (void)
{
  struct fake_log log;
  struct fake_node old;
  struct fake_node new;

  set_up (&log, &old, &new);
  fake_node_tick (&new, SECOND);
  CU_ASSERT_EQUAL (new.call_count, 0);
  fail_read (&new);
  fake_node_tick (&new, SECOND);
  CU_ASSERT_TRUE (new.call_count > 1);
  CU_ASSERT_EQUAL (new.log_event_counts[LOG_EVENT_SNAPSHOT_LOADED], 1);
  CU_ASSERT_EQUAL (view_digest (&new.core.view), view_digest (&old.core.view));
  CU_ASSERT_PTR_NOT_NULL (view_find_service (&new.core.view, "menu"));
  CU_ASSERT_EQUAL (new.core.view.config.rules->len, 1);
  fail_read (&new);
  fake_node_tick (&new, 5 * SECOND);
  CU_ASSERT_EQUAL (new.append_count, 0);
  CU_ASSERT_FALSE (new.core.has_reached_log_end);
  read_and_tick (&new);
  CU_ASSERT_TRUE (new.core.has_reached_log_end);
  CU_ASSERT_TRUE (new.append_count > 0);
  tear_down (&log, &old, &new);
}

/* A node that has read to the end of the log, or that is as far as its peer,
   does not load the peer's view.  A node that can read the log does not
   call.  */
static void
test_never_backwards (void)
{
  struct fake_log log;
  struct fake_node old;
  struct fake_node new;
  guint calls;

  set_up (&log, &old, &new);
  read_and_tick (&new);
  calls = new.call_count;
  fail_read (&new);
  new.core.has_joined = FALSE;
  fake_node_tick (&new, SECOND);
  CU_ASSERT_EQUAL (new.log_event_counts[LOG_EVENT_SNAPSHOT_LOADED], 0);
  CU_ASSERT_FALSE (new.core.fetch.call_pending);
  CU_ASSERT_TRUE (new.call_count >= calls);
  new.core.has_reached_log_end = FALSE;
  fake_node_tick (&new, 2 * SECOND);
  CU_ASSERT_EQUAL (new.log_event_counts[LOG_EVENT_SNAPSHOT_LOADED], 0);
  CU_ASSERT_TRUE (new.core.view.applied_offset
                  >= old.core.view.applied_offset);
  tear_down (&log, &old, &new);
}

/* A peer whose view is incomplete, because it read a record of a later
   version, sends no snapshot.  A seed without a snapshot is called again
   later.  */
static void
test_peer_without_view (void)
{
  struct fake_log log;
  struct fake_node old;
  struct fake_node new;
  guint calls;

  set_up (&log, &old, &new);
  old.core.view.unsupported_offset = 1;
  fail_read (&new);
  fake_node_tick (&new, SECOND);
  CU_ASSERT_EQUAL (new.log_event_counts[LOG_EVENT_SNAPSHOT_LOADED], 0);
  CU_ASSERT_EQUAL (new.core.view.applied_offset, 0);
  calls = new.call_count;
  fake_node_tick (&new, 100000);
  CU_ASSERT_EQUAL (new.call_count, calls);
  old.core.view.unsupported_offset = 0;
  fake_node_tick (&new, 2 * SECOND);
  CU_ASSERT_EQUAL (new.log_event_counts[LOG_EVENT_SNAPSHOT_LOADED], 1);
  tear_down (&log, &old, &new);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "start from peer", test_start_from_peer },
          { "never backwards", test_never_backwards },
          { "peer without view", test_peer_without_view },
          CU_TEST_INFO_NULL };

  return suite_run ("fetch", tests);
}
