#include "decide/snapshot_read.h"

#include "decide/config_read.h"
#include "decide/core.h"

#include <string.h>

/* Drop the chunks collected so far.  */
static void
drop_chunks (struct snapshot_reader *reader)
{
  memset (&reader->partial_snapshot, 0, sizeof reader->partial_snapshot);
  g_byte_array_set_size (reader->bytes, 0);
}

/* Release what READER owns.  */
void
snapshot_read_clear (struct snapshot_reader *reader)
{
  if (reader->bytes != NULL)
    g_byte_array_unref (reader->bytes);
  memset (reader, 0, sizeof *reader);
}

/* Start to look for a snapshot, from FIRST, the first offset that the log
   retains.  Until one is loaded, this node does not count as up to date.  */
void
snapshot_read_begin (struct core *core, guint64 first, struct actions *out)
{
  struct snapshot_reader *reader = &core->snapshot_reader;
  struct action_read_log *action;

  if (reader->bytes == NULL)
    reader->bytes = g_byte_array_new ();
  drop_chunks (reader);
  reader->collecting = TRUE;
  reader->first_retained = first;
  core->has_reached_log_end = FALSE;
  action = &actions_add (out, ACTION_READ_LOG)->u.read_log;
  action->offset = first;
}

/* Add a chunk; return TRUE once the snapshot is complete.  A snapshot is
   ignored unless all records from its offset on are retained.  */
static gboolean
add_chunk (struct snapshot_reader *reader, guint64 writer,
           const struct record_snapshot *body)
{
  struct snapshot_progress *progress = &reader->partial_snapshot;
  gboolean same_snapshot = progress->writer == writer
                           && progress->offset == body->snapshot_offset;

  if (same_snapshot && body->chunk_index + 1 == progress->next_chunk)
    return FALSE;
  if (!same_snapshot || body->chunk_index != progress->next_chunk)
    {
      drop_chunks (reader);
      if (body->chunk_index != 0
          || body->snapshot_offset < reader->first_retained)
        return FALSE;
      progress->writer = writer;
      progress->offset = body->snapshot_offset;
    }
  g_byte_array_append (reader->bytes, body->bytes, body->length);
  progress->next_chunk++;
  return progress->next_chunk == body->chunk_count;
}

/* Request the decoding of the complete snapshot.  */
static void
request_decode (struct snapshot_reader *reader, struct actions *out)
{
  struct action_snapshot_decode *action
      = &actions_add (out, ACTION_SNAPSHOT_DECODE)->u.snapshot_decode;

  action->length = reader->bytes->len;
  action->bytes = g_memdup2 (reader->bytes->data, reader->bytes->len);
  drop_chunks (reader);
}

/* Collect chunks from the records of EVENT, and request the decoding of the
   first snapshot that is complete.  */
void
snapshot_read_records (struct core *core, const struct event_records *event,
                       struct actions *out)
{
  struct snapshot_reader *reader = &core->snapshot_reader;
  guint i;

  for (i = 0; i < event->count; i++)
    {
      const struct record *record = &event->items[i].record;
      if (record->version == RECORD_VERSION && record->kind == RECORD_SNAPSHOT
          && add_chunk (reader, record->writer, &record->body.snapshot))
        {
          request_decode (reader, out);
          return;
        }
    }
}

/* Load a decoded snapshot if it is later than this node's view; a view never
   goes back.  Then continue to read the log at the snapshot's offset.  */
void
snapshot_read_loaded (struct core *core,
                      const struct event_snapshot_decoded *event,
                      struct actions *out)
{
  struct snapshot_reader *reader = &core->snapshot_reader;
  struct view *fresh = event->view;
  GArray *errors;
  struct log_event *log_event;

  if (fresh == NULL)
    return;
  if (core->has_reached_log_end
      || fresh->applied_offset <= core->view.applied_offset)
    {
      view_clear (fresh);
      return;
    }
  errors = g_array_new (FALSE, TRUE, sizeof (struct config_error));
  config_clear (&fresh->config);
  config_read (&fresh->config, "log",
               fresh->config_text != NULL ? fresh->config_text : "", errors);
  g_array_free (errors, TRUE);
  view_replace (&core->view, fresh);
  core->self = view_find_node (&core->view, core->settings.incarnation);
  reader->collecting = FALSE;
  log_event = &actions_add (out, ACTION_LOG_EVENT)->u.log_event;
  log_event->id = LOG_EVENT_SNAPSHOT_LOADED;
  log_event->offset = core->view.applied_offset;
  actions_add (out, ACTION_READ_LOG)->u.read_log.offset
      = core->view.applied_offset;
}
