#include "decide/fold.h"

/* Append a log event ID about the record at OFFSET to OUT.  The pointer is
   valid until the next action is added.  */
struct note *
fold_note (struct actions *out, enum note_id id, guint64 offset)
{
  struct note *note = &actions_add (out, ACTION_NOTE)->u.note;

  note->id = id;
  note->offset = offset;
  return note;
}

/* Tell whether RECORD cannot be applied, and log that.  A malformed record
   means nothing to any node.  A record of a newer version may mean something
   to other nodes, so from this offset on the view is marked as incomplete.  */
static gboolean
is_unreadable (struct view *view, guint64 offset, const struct record *record,
               struct actions *out)
{
  if (record->version == RECORD_MALFORMED)
    {
      fold_note (out, NOTE_RECORD_UNKNOWN, offset)->code = ERR_MALFORMED;
      return TRUE;
    }
  if (record->version <= RECORD_VERSION)
    return FALSE;
  if (view->unread == 0)
    view->unread = offset;
  fold_note (out, NOTE_RECORD_UNKNOWN, offset)->amount = record->version;
  return TRUE;
}

/* Apply the record at OFFSET to VIEW.  A record below view->next has been
   applied before and is skipped, so that a view never goes back.  */
void
fold_record (struct view *view, guint64 offset, const struct record *record,
             struct actions *out)
{
  if (offset < view->next)
    return;
  view->next = offset + 1;
  if (is_unreadable (view, offset, record, out))
    return;
  switch (record->kind)
    {
    case RECORD_CONFIG:
      fold_config (view, offset, &record->body.config, out);
      if (view->config_offset == offset)
        view_config_accepted (view, offset, record->writer, record->serial);
      break;
    case RECORD_JOIN:
      fold_join (view, offset, &record->body.join, out);
      break;
    case RECORD_LEAVING:
      fold_leaving (view, offset, &record->body.leaving, out);
      break;
    case RECORD_OUT:
      fold_out (view, offset, &record->body.out, out);
      break;
    case RECORD_WITNESS:
      if (record->writer != record->body.witness.incarnation)
        break;
      fold_witness (view, offset, &record->body.witness, out);
      break;
    case RECORD_ASSIGN:
      fold_assign (view, offset, &record->body.slices, out);
      break;
    case RECORD_MOVE:
    case RECORD_SUCCESSOR:
      fold_move (view, offset, &record->body.slices, out);
      break;
    case RECORD_MOVED:
      fold_moved (view, offset, record->writer, &record->body.slices, out);
      break;
    case RECORD_HOT:
      fold_hot (view, offset, &record->body.hot, out);
      break;
    case RECORD_SNAPSHOT:
      fold_snapshot (view, record->writer, &record->body.snapshot);
      break;
    case RECORD_SUSPECT:
      break;
    }
}
