#include "decide/snapshot_read.h"

#include "decide/config_read.h"
#include "decide/core.h"

#include <string.h>

/* Begin anew with no chunk.  */
static void
empty (struct snapshot_reader *reader)
{
  memset (&reader->partial_snapshot, 0, sizeof reader->partial_snapshot);
  g_byte_array_set_size (reader->bytes, 0);
}

/* Release the chunks that were collected.  */
void
snapshot_read_clear (struct snapshot_reader *reader)
{
  if (reader->bytes != NULL)
    g_byte_array_unref (reader->bytes);
  memset (reader, 0, sizeof *reader);
}

/* Read from Log-First, FIRST, on and look for a snapshot.  Until it is loaded
   this node is not at the tail.  */
void
snapshot_read_begin (struct core *core, guint64 first, struct actions *out)
{
  struct snapshot_reader *reader = &core->snapshot_reader;
  struct action_read_log *fetch;

  if (reader->bytes == NULL)
    reader->bytes = g_byte_array_new ();
  empty (reader);
  reader->collecting = TRUE;
  reader->first_retained = first;
  core->has_reached_log_end = FALSE;
  fetch = &actions_add (out, ACTION_READ_LOG)->u.fetch;
  fetch->offset = first;
}

/* Take in one chunk; return TRUE once the snapshot is whole.  A snapshot is
   of use only if the records from its offset on are all retained.  */
static gboolean
take_chunk (struct snapshot_reader *reader, guint64 writer,
            const struct record_snapshot *body)
{
  struct snapshot_progress *part = &reader->partial_snapshot;
  gboolean same
      = part->writer == writer && part->offset == body->snapshot_offset;

  if (same && body->chunk_index + 1 == part->next_chunk)
    return FALSE;
  if (!same || body->chunk_index != part->next_chunk)
    {
      empty (reader);
      if (body->chunk_index != 0
          || body->snapshot_offset < reader->first_retained)
        return FALSE;
      part->writer = writer;
      part->offset = body->snapshot_offset;
    }
  g_byte_array_append (reader->bytes, body->bytes, body->length);
  part->next_chunk++;
  return part->next_chunk == body->chunk_count;
}

/* Have the snapshot that is whole decoded.  */
static void
decode (struct snapshot_reader *reader, struct actions *out)
{
  struct action_snapshot_decode *action
      = &actions_add (out, ACTION_SNAPSHOT_DECODE)->u.snapshot_decode;

  action->length = reader->bytes->len;
  action->bytes = g_memdup2 (reader->bytes->data, reader->bytes->len);
  empty (reader);
}

/* Look for chunks in records that were read.  The last whole snapshot among
   them is taken.  */
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
          && take_chunk (reader, record->writer, &record->body.snapshot))
        {
          decode (reader, out);
          return;
        }
    }
}

/* Load the view that a snapshot was decoded to, if it is later than the one
   this node has; a node never folds backwards.  The log is then read from the
   snapshot's offset on.  */
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
  actions_add (out, ACTION_READ_LOG)->u.fetch.offset
      = core->view.applied_offset;
}
