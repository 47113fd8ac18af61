#include "tests/fake_log.h"
#include "tests/fixture.h"
#include "tests/suite.h"

#define READ_ALL 1000
#define SECOND ((gint64)1000000)
#define COUNT 5u /* nodes of the zone */

static struct fake_log log_service;
static struct fake_node nodes[COUNT];

/* Let every node read the log and tick for SECONDS seconds.  */
static void
run_all (guint seconds)
{
  guint i;
  guint k;

  for (k = 0; k < seconds * 4; k++)
    for (i = 0; i < COUNT; i++)
      {
        if (!nodes[i].core.relay.from_peer)
          fake_node_read (&nodes[i], READ_ALL);
        fake_node_tick (&nodes[i], 250000);
      }
}

/* Start the nodes.  Two of them read the log.  */
static void
set_up (void)
{
  guint i;

  fake_log_init (&log_service);
  for (i = 0; i < COUNT; i++)
    {
      fake_node_init (&nodes[i], &log_service, i + 1);
      nodes[i].core.settings.snapshot_records = 0;
      nodes[i].core.settings.relays_per_zone = 2;
    }
  run_all (8);
}

/* Release the nodes and the log.  */
static void
tear_down (void)
{
  guint i;

  for (i = 0; i < COUNT; i++)
    core_clear (&nodes[i].core);
  fake_log_clear (&log_service);
}

/* Return a node that reads from a peer, or NULL.  */
static struct fake_node *
find_follower (void)
{
  guint i;

  for (i = 0; i < COUNT; i++)
    if (nodes[i].core.relay.from_peer)
      return &nodes[i];
  return NULL;
}

/* Report to NODE that its source failed.  */
static void
fail_source (struct fake_node *node)
{
  struct event event = { .kind = EVENT_LOG_FAILED };

  event.u.log_failed.code = ERR_TIMEOUT;
  fake_node_step (node, &event);
}

/* Two nodes of the zone read the log.  Each other node reads from one that
   ranks before it, never from itself.  */
static void
test_sources (void)
{
  guint followers = 0;
  guint i;

  set_up ();
  for (i = 0; i < COUNT; i++)
    {
      const struct relay *relay = &nodes[i].core.relay;
      followers += relay->from_peer ? 1 : 0;
      CU_ASSERT_NOT_EQUAL (relay->peer_incarnation,
                           nodes[i].core.settings.incarnation);
    }
  CU_ASSERT_EQUAL (followers, COUNT - 2);
  tear_down ();
}

/* In a zone of 1600 nodes no node has more than RELAY_FANOUT readers, and no
   node is more than three steps from the log.  */
static void
test_tree_depth (void)
{
  guint32 readers[1600] = { 0 };
  guint32 deepest = 0;
  guint32 rank;

  for (rank = 2; rank < G_N_ELEMENTS (readers); rank++)
    {
      guint32 depth = 0;
      guint32 at;
      for (at = rank; at >= 2; at = relay_parent (at, 2, 0))
        {
          CU_ASSERT_TRUE (relay_parent (at, 2, 0) < at);
          depth++;
        }
      readers[relay_parent (rank, 2, 0)]++;
      deepest = MAX (deepest, depth);
    }
  for (rank = 0; rank < G_N_ELEMENTS (readers); rank++)
    CU_ASSERT_TRUE (readers[rank] <= RELAY_FANOUT);
  CU_ASSERT_TRUE (deepest <= 3);
}

/* A source that fails is replaced by another peer, then by the log itself;
   later a peer is tried again.  The log does not count as unreachable.  */
static void
test_source_fails (void)
{
  struct fake_node *node;
  guint64 first;

  set_up ();
  node = find_follower ();
  CU_ASSERT_PTR_NOT_NULL_FATAL (node);
  if (node == NULL)
    return;
  first = node->core.relay.peer_incarnation;
  fail_source (node);
  CU_ASSERT_TRUE (node->core.relay.from_peer);
  CU_ASSERT_NOT_EQUAL (node->core.relay.peer_incarnation, first);
  fail_source (node);
  CU_ASSERT_FALSE (node->core.relay.from_peer);
  CU_ASSERT_FALSE (node->core.is_log_down);
  fake_node_tick (node, 5 * SECOND);
  CU_ASSERT_FALSE (node->core.relay.from_peer);
  fake_node_tick (node, 6 * SECOND);
  CU_ASSERT_EQUAL (node->core.relay.peer_incarnation, first);
  tear_down ();
}

/* A node whose append is pending reads the log itself.  A node whose source
   skipped a record switches to another source.  */
static void
test_reads_log_itself (void)
{
  struct event event = { .kind = EVENT_RECORDS };
  struct log_entry entry
      = { .record = { .version = RECORD_VERSION_MALFORMED } };
  struct fake_node *node;
  guint64 next;
  guint64 source;

  set_up ();
  node = find_follower ();
  CU_ASSERT_PTR_NOT_NULL_FATAL (node);
  if (node == NULL)
    return;
  next = node->core.view.applied_offset;
  source = node->core.relay.peer_incarnation;
  entry.offset = next + 1;
  event.u.records.items = &entry;
  event.u.records.count = 1;
  fake_node_step (node, &event);
  CU_ASSERT_EQUAL (node->core.view.applied_offset, next);
  CU_ASSERT_NOT_EQUAL (node->core.relay.peer_incarnation, source);
  outbox_propose (&node->core.outbox, RECORD_LEAVING);
  node->loses_appends = TRUE;
  fake_node_tick (node, 250000);
  CU_ASSERT_FALSE (node->core.relay.from_peer);
  tear_down ();
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "sources", test_sources },
                                 { "tree depth", test_tree_depth },
                                 { "source fails", test_source_fails },
                                 { "reads log itself", test_reads_log_itself },
                                 CU_TEST_INFO_NULL };

  return suite_run ("relay", tests);
}
