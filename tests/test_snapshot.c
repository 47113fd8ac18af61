#include "tests/fake_log.h"
#include "tests/fixture.h"
#include "tests/suite.h"

#define READ_ALL 1000

/* Append COUNT records that change something: joins of nodes from FIRST.  */
static void
append_joins (struct fake_log *log, guint64 first, guint count)
{
  guint i;

  for (i = 0; i < count; i++)
    {
      struct record record = { .version = RECORD_VERSION,
                               .kind = RECORD_JOIN,
                               .writer = first + i };
      struct record_join *join = &record.body.join;
      join->incarnation = first + i;
      g_snprintf (join->host, sizeof join->host, "j%u", (guint)(first + i));
      g_strlcpy (join->zone, "a", sizeof join->zone);
      g_strlcpy (join->service, "menu", sizeof join->service);
      join->peer_address.port = (guint16)(8000 + first + i);
      fake_log_append (log, &record);
    }
}

/* Let NODE read and tick for SECONDS.  */
static void
run (struct fake_node *node, guint seconds)
{
  guint i;

  for (i = 0; i < seconds * 4; i++)
    {
      fake_node_read (node, READ_ALL);
      fake_node_tick (node, 250000);
    }
}

/* Retire the nodes of the view that have no process, so that NODE is the only
   live one and its turn comes first.  */
static void
append_leaving (struct fake_log *log, guint64 first, guint count)
{
  guint i;

  for (i = 0; i < count; i++)
    {
      struct record record
          = { .version = RECORD_VERSION, .kind = RECORD_LEAVING };
      record.body.leaving.incarnation = first + i;
      fake_log_append (log, &record);
    }
}

/* A node writes a snapshot after so many records; a node that starts where
   the log has dropped its beginning loads it and reaches the same view.  */
static void
test_write_and_load (void)
{
  struct fake_log log;
  struct fake_node writer;
  struct fake_node reader;

  fake_log_init (&log);
  append_joins (&log, 100, 20);
  append_leaving (&log, 100, 20);
  fake_node_init (&writer, &log, 1);
  run (&writer, 3);
  CU_ASSERT_EQUAL (writer.log_event_counts[LOG_EVENT_SNAPSHOT_WRITTEN], 1);
  CU_ASSERT_NOT_EQUAL (writer.core.view.snapshot_offset, 0);
  append_joins (&log, 200, 3);
  run (&writer, 1);
  log.first = writer.core.view.snapshot_offset;
  fake_node_init (&reader, &log, 2);
  fake_node_read (&reader, READ_ALL);
  CU_ASSERT_TRUE (reader.core.snapshot_reader.collecting);
  CU_ASSERT_FALSE (reader.core.has_reached_log_end);
  CU_ASSERT_EQUAL (reader.append_count, 0);
  fake_node_read (&reader, READ_ALL);
  CU_ASSERT_EQUAL (reader.log_event_counts[LOG_EVENT_SNAPSHOT_LOADED], 1);
  CU_ASSERT_EQUAL (reader.core.view.applied_offset,
                   writer.core.view.snapshot_offset);
  CU_ASSERT_EQUAL (reader.append_count, 0);
  fake_node_read (&reader, READ_ALL);
  fake_node_read (&reader, READ_ALL);
  fake_node_read (&writer, READ_ALL);
  fake_node_read (&writer, READ_ALL);
  fake_node_read (&reader, READ_ALL);
  CU_ASSERT_TRUE (reader.core.has_reached_log_end);
  CU_ASSERT_EQUAL (reader.core.view.applied_offset,
                   writer.core.view.applied_offset);
  CU_ASSERT_EQUAL (view_digest (&reader.core.view),
                   view_digest (&writer.core.view));
  CU_ASSERT_TRUE (reader.append_count > 0);
  core_clear (&writer.core);
  core_clear (&reader.core);
  fake_log_clear (&log);
}

/* Append one chunk of the snapshot of VIEW, cut into two.  */
static void
append_half (struct fake_log *log, const struct view *view, guint64 writer,
             guint32 chunk)
{
  struct record record = { .version = RECORD_VERSION,
                           .kind = RECORD_SNAPSHOT,
                           .writer = writer,
                           .serial = chunk };
  struct record_snapshot *body = &record.body.snapshot;
  GByteArray *bytes = view_encode (view);
  guint32 half = bytes->len / 2;

  body->snapshot_offset = view->applied_offset;
  body->chunk_index = chunk;
  body->chunk_count = 2;
  body->length = chunk == 0 ? half : bytes->len - half;
  body->bytes = bytes->data + (chunk == 0 ? 0 : half);
  fake_log_append (log, &record);
  g_byte_array_unref (bytes);
}

/* A snapshot that is half written, or cut through by another's chunk, is not
   loaded; the next whole one is.  */
static void
test_half_written (void)
{
  struct fake_log log;
  struct fake_node node;
  struct view view;

  fake_log_init (&log);
  append_joins (&log, 100, 12);
  fixture_view (&view);
  log.first = 5;
  append_half (&log, &view, 7, 1);
  append_half (&log, &view, 7, 0);
  append_half (&log, &view, 8, 0);
  append_half (&log, &view, 7, 1);
  fake_node_init (&node, &log, 1);
  fake_node_read (&node, READ_ALL);
  fake_node_read (&node, READ_ALL);
  CU_ASSERT_EQUAL (node.log_event_counts[LOG_EVENT_SNAPSHOT_LOADED], 0);
  CU_ASSERT_FALSE (node.core.has_reached_log_end);
  append_half (&log, &view, 8, 0);
  append_half (&log, &view, 8, 0);
  append_half (&log, &view, 8, 1);
  fake_node_read (&node, READ_ALL);
  CU_ASSERT_EQUAL (node.log_event_counts[LOG_EVENT_SNAPSHOT_LOADED], 1);
  CU_ASSERT_EQUAL (node.core.view.applied_offset, view.applied_offset);
  view_clear (&view);
  core_clear (&node.core);
  fake_log_clear (&log);
}

/* A snapshot whose following records are no longer retained is of no use.  */
static void
test_snapshot_too_old (void)
{
  struct fake_log log;
  struct fake_node node;
  struct view view;

  fake_log_init (&log);
  append_joins (&log, 100, 20);
  fixture_view (&view);
  log.first = view.applied_offset + 1;
  append_half (&log, &view, 8, 0);
  append_half (&log, &view, 8, 1);
  fake_node_init (&node, &log, 1);
  fake_node_read (&node, READ_ALL);
  fake_node_read (&node, READ_ALL);
  CU_ASSERT_EQUAL (node.log_event_counts[LOG_EVENT_SNAPSHOT_LOADED], 0);
  CU_ASSERT_EQUAL (node.core.view.applied_offset, 0);
  view_clear (&view);
  core_clear (&node.core);
  fake_log_clear (&log);
}

/* A snapshot is written before the horizon comes near, and after a time even
   if nothing happens, since retention may be by time.  */
static void
test_when (void)
{
  struct fake_log log;
  struct fake_node node;
  guint64 before;

  fake_log_init (&log);
  fake_node_init (&node, &log, 1);
  append_joins (&log, 100, 12);
  append_leaving (&log, 100, 2);
  run (&node, 2);
  CU_ASSERT_EQUAL (node.core.view.snapshot_offset, 0);
  log.first = 10;
  run (&node, 30);
  CU_ASSERT_NOT_EQUAL (node.core.view.snapshot_offset, 0);
  before = node.core.view.snapshot_offset;
  run (&node, 400);
  CU_ASSERT_EQUAL (node.core.view.snapshot_offset, before);
  run (&node, 250);
  CU_ASSERT_TRUE (node.core.view.snapshot_offset > before);
  core_clear (&node.core);
  fake_log_clear (&log);
}

/* When the node whose turn it is does nothing, another writes in its turn; one
   that sees chunks come by waits.  */
static void
test_turns (void)
{
  struct fake_log log;
  struct fake_node nodes[3];
  guint i;
  guint written = 0;
  guint k;

  fake_log_init (&log);
  for (i = 0; i < 3; i++)
    fake_node_init (&nodes[i], &log, i + 1);
  for (k = 0; k < 8; k++)
    for (i = 0; i < 3; i++)
      run (&nodes[i], 1);
  append_joins (&log, 100, 30);
  append_leaving (&log, 100, 30);
  for (k = 0; k < 80; k++)
    for (i = 0; i < 3; i++)
      {
        fake_node_read (&nodes[i], READ_ALL);
        fake_node_tick (&nodes[i], 250000);
      }
  for (i = 0; i < 3; i++)
    written += nodes[i].log_event_counts[LOG_EVENT_SNAPSHOT_WRITTEN];
  CU_ASSERT_EQUAL (written, 1);
  for (i = 0; i < 3; i++)
    core_clear (&nodes[i].core);
  fake_log_clear (&log);
}

/* A node that meets a record of a later version writes no snapshot, proposes
   nothing and lets its lease go; a malformed record changes nothing.  */
static void
test_unread (void)
{
  struct fake_log log;
  struct fake_node node;
  struct record later = { .version = RECORD_VERSION + 1 };
  struct record malformed = { .version = RECORD_VERSION_MALFORMED };
  guint appends;
  guint calls;

  fake_log_init (&log);
  fake_node_init (&node, &log, 1);
  append_joins (&log, 50, 3);
  run (&node, 3);
  CU_ASSERT_TRUE (node.call_count > 0);
  fake_log_append (&log, &malformed);
  run (&node, 1);
  CU_ASSERT_EQUAL (node.core.view.unsupported_offset, 0);
  CU_ASSERT_EQUAL (node.log_event_counts[LOG_EVENT_RECORD_UNKNOWN], 1);
  fake_log_append (&log, &later);
  append_joins (&log, 100, 30);
  append_leaving (&log, 100, 30);
  fake_node_read (&node, READ_ALL);
  CU_ASSERT_EQUAL (node.log_event_counts[LOG_EVENT_RECORD_UNKNOWN], 2);
  CU_ASSERT_NOT_EQUAL (node.core.view.unsupported_offset, 0);
  appends = node.append_count;
  calls = node.call_count;
  run (&node, 10);
  CU_ASSERT_EQUAL (node.append_count, appends);
  CU_ASSERT_EQUAL (node.call_count, calls);
  CU_ASSERT_FALSE (lease_is_held (&node.core.lease, node.now));
  core_clear (&node.core);
  fake_log_clear (&log);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "write and load", test_write_and_load },
          { "half written", test_half_written },
          { "snapshot too old", test_snapshot_too_old },
          { "when", test_when },
          { "turns", test_turns },
          { "a record of a later version", test_unread },
          CU_TEST_INFO_NULL };

  return suite_run ("snapshot", tests);
}
