#include "decide/core_take.h"

#include "decide/core.h"
#include "decide/fold.h"
#include "decide/timing.h"

/* Tell whether records are missing between the end of VIEW and the first
   record of EVENT.  */
static gboolean
has_gap (const struct view *view, const struct event_records *event)
{
  return event->count > 0 && event->items[0].offset > view->next;
}

/* Apply the records that were read from the log or a peer.  If records from a
   peer leave a gap, another source is chosen instead.  */
void
core_take_records (struct core *core, const struct event_records *event,
                   gint64 now, struct actions *out)
{
  const struct view_service *service;
  guint i;

  if (event->from_log && core->log_down)
    {
      core->log_down = FALSE;
      actions_add (out, ACTION_NOTE)->u.note.id = NOTE_LOG_UP;
    }
  if (!event->from_log && has_gap (&core->view, event))
    {
      relay_on_failed (core, now, out);
      return;
    }
  core->log_first = MAX (core->log_first, event->first);
  if (core->snapshot_reader.collecting)
    {
      snapshot_read_records (core, event, out);
      return;
    }
  for (i = 0; i < event->count; i++)
    {
      const struct log_entry *entry = &event->items[i];
      outbox_on_record (&core->outbox, &entry->record);
      hold_before_record (core, entry, now);
      planner_on_record (
          &core->planner, &core->view,
          view_find_service (&core->view, core->settings.service),
          &entry->record, now);
      if (entry->record.kind == RECORD_SUSPECT
          && entry->offset >= core->view.next)
        suspects_on_record (&core->suspects, &entry->record.body.suspect, now);
      fold_record (&core->view, entry->offset, &entry->record, out);
      if (entry->record.kind == RECORD_JOIN
          || entry->record.kind == RECORD_CONFIG)
        core->settled_at = now + JOIN_SETTLE_USEC;
    }
  if (event->at_tail)
    {
      core->at_tail = TRUE;
      outbox_on_tail (&core->outbox, event->next, event->begun, now, out);
    }
  service = view_find_service (&core->view, core->settings.service);
  core->gate.limit = service != NULL ? service->config.queue : 0;
}

/* Handle a failed read of the log: switch the relay if the source was a peer,
   look for a snapshot if the offset is no longer retained, and otherwise mark
   the log as down.  */
void
core_take_log_failed (struct core *core, const struct event_log_failed *event,
                      gint64 now, struct actions *out)
{
  struct note *note;

  if (core->relay.from_peer)
    {
      relay_on_failed (core, now, out);
      return;
    }
  if (event->code == ERR_GONE && event->first > core->view.next)
    {
      snapshot_read_begin (core, event->first, out);
      return;
    }
  if (core->log_down)
    return;
  core->log_down = TRUE;
  note = &actions_add (out, ACTION_NOTE)->u.note;
  note->id = NOTE_LOG_DOWN;
  note->code = event->code;
}

/* Adopt a snapshot that was decoded, and delay slices this node got by records
   that the snapshot skipped.  */
void
core_take_snapshot (struct core *core, const struct event_snapshot *event,
                    gint64 now, struct actions *out)
{
  guint64 before = core->view.next;

  snapshot_read_loaded (core, event, out);
  if (core->view.next > before)
    hold_after_snapshot (core, before, now);
}
