#include "decide/snapshot_write.h"

#include "decide/core.h"
#include "decide/slice.h"

#include <string.h>

#define CHUNK_BYTES 196608u         /* bytes of a snapshot in a record */
#define TURN_USEC ((gint64)2000000) /* between one node's turn and next */
#define NEW_RECORDS_MIN 8u          /* records between two snapshots */

/* When */

/* Tell whether half of the records since the last snapshot are no longer
   retained, counted from the first one that is.  */
static gboolean
nears_horizon (const struct core *core)
{
  const struct view *view = &core->view;
  guint64 first = core->first_retained_offset;

  return first > 1 && view->applied_offset > first
         && view->applied_offset - view->snapshot_offset >= NEW_RECORDS_MIN
         && view->snapshot_offset < first + (view->applied_offset - first) / 2;
}

/* Tell whether a snapshot is wanted at NOW.  */
static gboolean
is_due (struct core *core, gint64 now)
{
  struct snapshot_writer *writer = &core->snapshot_writer;
  const struct view *view = &core->view;

  if (writer->expires_at == 0
      || writer->last_snapshot_offset != view->snapshot_offset)
    {
      writer->last_snapshot_offset = view->snapshot_offset;
      writer->expires_at
          = now
            + (gint64)core->settings.snapshot_interval_sec * G_USEC_PER_SEC;
    }
  return view->applied_offset - view->snapshot_offset
             >= core->settings.snapshot_records
         || nears_horizon (core) || now >= writer->expires_at;
}

/* Tell whether this node may write a snapshot: its view is whole and the log
   can be reached.  */
static gboolean
may_write (const struct core *core)
{
  const struct view_node *self = view_node_at (&core->view, core->self);

  return core->settings.snapshot_records > 0 && core->has_reached_log_end
         && !core->is_log_down && core->view.unsupported_offset == 0
         && self != NULL && self->state == NODE_LIVE;
}

/* Who */

/* Count the live nodes that rank before this one for the next snapshot.  */
static guint32
count_before (const struct core *core)
{
  const struct view *view = &core->view;
  guint64 own = slice_rank (view->snapshot_offset, core->settings.incarnation);
  struct handle h = table_next (&view->nodes, HANDLE_NONE);
  guint32 count = 0;

  for (; handle_is_set (h); h = table_next (&view->nodes, h))
    {
      const struct view_node *node = view_node_at (view, h);
      if (node->state == NODE_LIVE
          && slice_rank (view->snapshot_offset, node->join.incarnation) < own)
        count++;
    }
  return count;
}

/* Put this node's turn off while the chunks of another come by.  */
static void
watch_others (struct core *core, gint64 now)
{
  struct snapshot_writer *writer = &core->snapshot_writer;
  const struct snapshot_progress *part = &core->view.partial_snapshot;

  if (part->writer == 0 || part->writer == core->settings.incarnation
      || (part->writer == writer->observed.writer
          && part->offset == writer->observed.offset
          && part->next_chunk == writer->observed.next_chunk))
    return;
  writer->observed = *part;
  writer->turn_at = now + (gint64)(writer->rank + 1) * TURN_USEC;
}

/* Writing */

/* Chunks that LENGTH bytes make.  */
static guint32
count_chunks (guint32 length)
{
  return (length + CHUNK_BYTES - 1) / CHUNK_BYTES;
}

/* Propose the next chunk.  Chunks go one at a time, each once the one before
   was read back, so that they stand in order.  */
static void
propose_chunk (struct core *core)
{
  struct snapshot_writer *writer = &core->snapshot_writer;
  struct record_snapshot *body
      = &outbox_propose (&core->outbox, RECORD_SNAPSHOT)->body.snapshot;
  guint32 start = writer->next_chunk * CHUNK_BYTES;

  body->snapshot_offset = writer->snapshot_offset;
  body->chunk_index = writer->next_chunk++;
  body->chunk_count = count_chunks (writer->bytes->len);
  body->length = MIN (CHUNK_BYTES, writer->bytes->len - start);
  body->bytes = g_memdup2 (writer->bytes->data + start, body->length);
}

/* End the snapshot that has been written, whole or not.  */
static void
finish (struct core *core, gint64 now, struct actions *out)
{
  struct snapshot_writer *writer = &core->snapshot_writer;
  struct log_event *log_event;

  if (core->view.snapshot_offset >= writer->snapshot_offset)
    {
      log_event = &actions_add (out, ACTION_LOG_EVENT)->u.log_event;
      log_event->id = LOG_EVENT_SNAPSHOT_WRITTEN;
      log_event->offset = writer->snapshot_offset;
    }
  writer->turn_at = now + (gint64)(writer->rank + 1) * TURN_USEC;
  g_byte_array_unref (writer->bytes);
  writer->bytes = NULL;
}

/* Go on with the snapshot that is being written.  */
static void
go_on (struct core *core, gint64 now, struct actions *out)
{
  struct snapshot_writer *writer = &core->snapshot_writer;

  if (outbox_has (&core->outbox, RECORD_SNAPSHOT))
    return;
  if (writer->next_chunk < count_chunks (writer->bytes->len)
      && core->view.snapshot_offset < writer->snapshot_offset)
    propose_chunk (core);
  else
    finish (core, now, out);
}

/* Release the snapshot that is being written.  */
void
snapshot_write_clear (struct snapshot_writer *writer)
{
  if (writer->bytes != NULL)
    g_byte_array_unref (writer->bytes);
  memset (writer, 0, sizeof *writer);
}

/* Write a snapshot if one is due and it is this node's turn.  */
void
snapshot_write_step (struct core *core, gint64 now, struct actions *out)
{
  struct snapshot_writer *writer = &core->snapshot_writer;

  if (!may_write (core))
    return;
  if (writer->bytes != NULL)
    {
      go_on (core, now, out);
      return;
    }
  if (!is_due (core, now))
    {
      writer->is_due = FALSE;
      return;
    }
  if (!writer->is_due)
    {
      writer->is_due = TRUE;
      writer->rank = count_before (core);
      writer->turn_at = now + (gint64)writer->rank * TURN_USEC;
    }
  watch_others (core, now);
  if (writer->encode_pending || now < writer->turn_at)
    return;
  writer->encode_pending = TRUE;
  actions_add (out, ACTION_SNAPSHOT_ENCODE);
}

/* Begin to write the bytes that the view was encoded to.  */
void
snapshot_write_bytes (struct core *core,
                      const struct event_snapshot_encoded *event)
{
  struct snapshot_writer *writer = &core->snapshot_writer;

  writer->encode_pending = FALSE;
  if (event->length == 0 || writer->bytes != NULL)
    return;
  writer->bytes = g_byte_array_sized_new (event->length);
  g_byte_array_append (writer->bytes, event->bytes, event->length);
  writer->snapshot_offset = event->snapshot_offset;
  writer->next_chunk = 0;
}
