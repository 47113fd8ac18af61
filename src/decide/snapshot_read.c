#include "decide/snapshot_read.h"

#include "decide/config_read.h"
#include "decide/core.h"

#include <string.h>

/* Begin anew with no chunk.  */
static void
empty (struct snapshot_reader *reader)
{
  memset (&reader->part, 0, sizeof reader->part);
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
  struct action_fetch *fetch;

  if (reader->bytes == NULL)
    reader->bytes = g_byte_array_new ();
  empty (reader);
  reader->collecting = TRUE;
  reader->from = first;
  core->has_reached_log_end = FALSE;
  fetch = &actions_add (out, ACTION_FETCH)->u.fetch;
  fetch->offset = first;
}

/* Take in one chunk; return TRUE once the snapshot is whole.  A snapshot is
   of use only if the records from its offset on are all retained.  */
static gboolean
take_chunk (struct snapshot_reader *reader, guint64 writer,
            const struct record_snapshot *body)
{
  struct view_part *part = &reader->part;
  gboolean same = part->writer == writer && part->offset == body->offset;

  if (same && body->chunk + 1 == part->next)
    return FALSE;
  if (!same || body->chunk != part->next)
    {
      empty (reader);
      if (body->chunk != 0 || body->offset < reader->from)
        return FALSE;
      part->writer = writer;
      part->offset = body->offset;
    }
  g_byte_array_append (reader->bytes, body->bytes, body->length);
  part->next++;
  return part->next == body->chunks;
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
snapshot_read_loaded (struct core *core, const struct event_snapshot *event,
                      struct actions *out)
{
  struct snapshot_reader *reader = &core->snapshot_reader;
  struct view *fresh = event->view;
  GArray *faults;
  struct note *note;

  if (fresh == NULL)
    return;
  if (core->has_reached_log_end || fresh->next <= core->view.next)
    {
      view_clear (fresh);
      return;
    }
  faults = g_array_new (FALSE, TRUE, sizeof (struct fault));
  config_clear (&fresh->config);
  config_read (&fresh->config, "log",
               fresh->config_text != NULL ? fresh->config_text : "", faults);
  g_array_free (faults, TRUE);
  view_adopt (&core->view, fresh);
  core->self = view_find_node (&core->view, core->settings.incarnation);
  reader->collecting = FALSE;
  note = &actions_add (out, ACTION_NOTE)->u.note;
  note->id = NOTE_SNAPSHOT_LOADED;
  note->offset = core->view.next;
  actions_add (out, ACTION_FETCH)->u.fetch.offset = core->view.next;
}
