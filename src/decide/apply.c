#include "decide/apply.h"

/* Add a note about the record at OFFSET; good until the next action.  */
struct log_event *
apply_log (struct actions *out, enum log_event_id id, guint64 offset)
{
  struct log_event *log_event
      = &actions_add (out, ACTION_LOG_EVENT)->u.log_event;

  log_event->id = id;
  log_event->offset = offset;
  return log_event;
}

/* Tell whether RECORD cannot be folded, and note that.  A malformed record
   says nothing to any node of any version; one of a later version may say
   something to others, so from then on this view is not theirs.  */
static gboolean
is_unreadable (struct view *view, guint64 offset, const struct record *record,
               struct actions *out)
{
  if (record->version == RECORD_VERSION_MALFORMED)
    {
      apply_log (out, LOG_EVENT_RECORD_UNKNOWN, offset)->code = ERR_MALFORMED;
      return TRUE;
    }
  if (record->version <= RECORD_VERSION)
    return FALSE;
  if (view->unsupported_offset == 0)
    view->unsupported_offset = offset;
  apply_log (out, LOG_EVENT_RECORD_UNKNOWN, offset)->amount = record->version;
  return TRUE;
}

/* Fold the record at OFFSET into VIEW.  A record below view->next has been
   folded before and is passed over, so that a view never goes back.  */
void
apply_record (struct view *view, guint64 offset, const struct record *record,
              struct actions *out)
{
  if (offset < view->applied_offset)
    return;
  view->applied_offset = offset + 1;
  if (is_unreadable (view, offset, record, out))
    return;
  switch (record->kind)
    {
    case RECORD_CONFIG:
      apply_config (view, offset, &record->body.config, out);
      if (view->config_offset == offset)
        view_remember_config (view, offset, record->writer, record->serial);
      break;
    case RECORD_JOIN:
      apply_join (view, offset, &record->body.join, out);
      break;
    case RECORD_LEAVING:
      apply_leaving (view, offset, &record->body.leaving, out);
      break;
    case RECORD_REMOVED:
      apply_removed (view, offset, &record->body.removed, out);
      break;
    case RECORD_WITNESS_SET:
      if (record->writer != record->body.witness_set.incarnation)
        break;
      apply_witness (view, offset, &record->body.witness_set, out);
      break;
    case RECORD_ASSIGN:
      apply_assign (view, offset, &record->body.slices, out);
      break;
    case RECORD_MOVE:
    case RECORD_SUCCESSOR:
      apply_move (view, offset, &record->body.slices, out);
      break;
    case RECORD_MOVED:
      apply_moved (view, offset, record->writer, &record->body.slices, out);
      break;
    case RECORD_HOT_KEY:
      apply_hot (view, offset, &record->body.hot_key, out);
      break;
    case RECORD_SNAPSHOT:
      apply_snapshot (view, record->writer, &record->body.snapshot);
      break;
    case RECORD_SUSPECT:
      break;
    }
}
