#include "tests/fake_log.h"
#include "tests/fixture.h"
#include "tests/suite.h"

#define READ_ALL 1000
#define SECOND ((gint64)1000000)

/* Tell NODE that its read of the log failed.  */
static void
fail_read (struct fake_node *node)
{
  struct event event = { .kind = EVENT_LOG_FAILED };

  event.u.log_failed.code = ERR_UNAVAILABLE;
  fake_node_step (node, &event);
}

/* Let NODE read and tick a few times.  */
static void
settle (struct fake_node *node)
{
  guint i;

  for (i = 0; i < 8; i++)
    {
      fake_node_read (node, READ_ALL);
      fake_node_tick (node, 250000);
    }
}

/* Start an old node that has read the log, and a new one that cannot, with the
   old one as its seed.  */
static void
set_up (struct fake_log *log, struct fake_node *old, struct fake_node *new)
{
  struct record record = { .version = RECORD_VERSION, .kind = RECORD_CONFIG };

  fake_log_init (log);
  record.body.config.text = (char *)FIXTURE_CONFIG;
  fake_log_append (log, &record);
  fake_node_init (old, log, 1);
  settle (old);
  fake_node_init (new, log, 2);
  new->core.settings.seed_peers[0] = old->core.settings.peer_address;
  new->core.settings.seed_peer_count = 1;
}

/* Release them.  */
static void
tear_down (struct fake_log *log, struct fake_node *old, struct fake_node *new)
{
  g_clear_pointer (&old->served, g_byte_array_unref);
  g_clear_pointer (&new->served, g_byte_array_unref);
  core_clear (&old->core);
  core_clear (&new->core);
  fake_log_clear (log);
}

/* With the log down a node starts from its seed, page by page; it takes no
   part in ownership until it has read the log's tail itself.  */
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
  settle (&new);
  CU_ASSERT_TRUE (new.core.has_reached_log_end);
  CU_ASSERT_TRUE (new.append_count > 0);
  tear_down (&log, &old, &new);
}

/* A node that has read the tail itself, or that has as much as its peer, does
   not load what the peer has; one that reads the log does not ask.  */
static void
test_never_backwards (void)
{
  struct fake_log log;
  struct fake_node old;
  struct fake_node new;
  guint calls;

  set_up (&log, &old, &new);
  settle (&new);
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

/* A peer that has passed over a record of a later version serves no view; a
   seed that does not answer is asked again later.  */
static void
test_no_view (void)
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
  static CU_TestInfo tests[] = { { "start from peer", test_start_from_peer },
                                 { "never backwards", test_never_backwards },
                                 { "no view", test_no_view },
                                 CU_TEST_INFO_NULL };

  return suite_run ("fetch", tests);
}
