#include "tests/fake_log.h"
#include "tests/fixture.h"
#include "tests/suite.h"

#define READ_ALL 1000
#define SECOND ((gint64)1000000)
#define COUNT 5u /* nodes of the zone */

static struct fake_log log_service;
static struct fake_node nodes[COUNT];

/* Let every node read the log and tick for SECONDS.  */
static void
run (guint seconds)
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

/* Start the nodes, of which two are to read the log.  */
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
  run (8);
}

/* Release them.  */
static void
tear_down (void)
{
  guint i;

  for (i = 0; i < COUNT; i++)
    core_clear (&nodes[i].core);
  fake_log_clear (&log_service);
}

/* A node that reads from a peer, or NULL.  */
static struct fake_node *
find_follower (void)
{
  guint i;

  for (i = 0; i < COUNT; i++)
    if (nodes[i].core.relay.from_peer)
      return &nodes[i];
  return NULL;
}

/* Tell NODE that its source failed.  */
static void
fail (struct fake_node *node)
{
  struct event event = { .kind = EVENT_LOG_FAILED };

  event.u.log_failed.code = ERR_TIMEOUT;
  fake_node_step (node, &event);
}

/* Two nodes of the zone read the log; the others read from one that ranks
   before them, and nobody from itself.  */
static void
test_who (void)
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

/* No node is read by more than a few, and the way to the log is short, in a
   zone of the size that is aimed at.  */
static void
test_tree (void)
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

/* A source that fails is replaced by another, then by the log itself, and
   later a peer is tried again; the log does not count as down.  */
static void
test_failing (void)
{
  struct fake_node *node;
  guint64 first;

  set_up ();
  node = find_follower ();
  CU_ASSERT_PTR_NOT_NULL_FATAL (node);
  if (node == NULL)
    return;
  first = node->core.relay.peer_incarnation;
  fail (node);
  CU_ASSERT_TRUE (node->core.relay.from_peer);
  CU_ASSERT_NOT_EQUAL (node->core.relay.peer_incarnation, first);
  fail (node);
  CU_ASSERT_FALSE (node->core.relay.from_peer);
  CU_ASSERT_FALSE (node->core.is_log_down);
  fake_node_tick (node, 5 * SECOND);
  CU_ASSERT_FALSE (node->core.relay.from_peer);
  fake_node_tick (node, 6 * SECOND);
  CU_ASSERT_EQUAL (node->core.relay.peer_incarnation, first);
  tear_down ();
}

/* A node that has something on its way to the log reads the log itself, and so
   does one that finds a hole in what its source tells.  */
static void
test_reads_itself (void)
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
  static CU_TestInfo tests[] = { { "who", test_who },
                                 { "tree", test_tree },
                                 { "failing", test_failing },
                                 { "reads itself", test_reads_itself },
                                 CU_TEST_INFO_NULL };

  return suite_run ("relay", tests);
}
