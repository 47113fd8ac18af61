#include "decide/core_events.h"

#include "decide/core.h"
#include "decide/apply.h"
#include "decide/timing.h"

/* Tell whether records are missing between the end of VIEW and the first
   record of EVENT.  */
static gboolean
has_gap (const struct view *view, const struct event_records *event)
{
  return event->count > 0 && event->items[0].offset > view->applied_offset;
}

/* Apply the records that were read from the log or a peer.  If records from a
   peer leave a gap, another source is chosen instead.  */
void
core_on_records (struct core *core, const struct event_records *event,
                 gint64 now, struct actions *out)
{
  const struct view_service *service;
  guint i;

  if (event->from_log && core->is_log_down)
    {
      core->is_log_down = FALSE;
      actions_add (out, ACTION_LOG_EVENT)->u.log_event.id = LOG_EVENT_LOG_UP;
    }
  if (!event->from_log && has_gap (&core->view, event))
    {
      relay_on_failed (core, now, out);
      return;
    }
  core->first_retained_offset
      = MAX (core->first_retained_offset, event->first_retained);
  if (core->snapshot_reader.collecting)
    {
      snapshot_read_records (core, event, out);
      return;
    }
  for (i = 0; i < event->count; i++)
    {
      const struct log_entry *entry = &event->items[i];
      outbox_on_record (&core->outbox, &entry->record);
      guard_before_record (core, entry, now);
      planner_on_record (
          &core->planner, &core->view,
          view_find_service (&core->view, core->settings.service),
          &entry->record, now);
      if (entry->record.kind == RECORD_SUSPECT
          && entry->offset >= core->view.applied_offset)
        suspects_on_record (&core->suspects, &entry->record.body.suspect, now);
      apply_record (&core->view, entry->offset, &entry->record, out);
      if (entry->record.kind == RECORD_JOIN
          || entry->record.kind == RECORD_CONFIG)
        core->settled_at = now + JOIN_SETTLE_USEC;
    }
  if (event->at_end)
    {
      core->has_reached_log_end = TRUE;
      outbox_on_log_end (&core->outbox, event->next_offset, event->started_at,
                         now, out);
    }
  service = view_find_service (&core->view, core->settings.service);
  core->admission.queue_max
      = service != NULL ? service->config.queue_limit : 0;
}

/* Handle a failed read of the log: switch the relay if the source was a peer,
   look for a snapshot if the offset is no longer retained, and otherwise mark
   the log as down.  */
void
core_on_log_failed (struct core *core, const struct event_log_failed *event,
                    gint64 now, struct actions *out)
{
  struct log_event *log_event;

  if (core->relay.from_peer)
    {
      relay_on_failed (core, now, out);
      return;
    }
  if (event->code == ERR_NOT_RETAINED
      && event->first_retained > core->view.applied_offset)
    {
      snapshot_read_begin (core, event->first_retained, out);
      return;
    }
  if (core->is_log_down)
    return;
  core->is_log_down = TRUE;
  log_event = &actions_add (out, ACTION_LOG_EVENT)->u.log_event;
  log_event->id = LOG_EVENT_LOG_DOWN;
  log_event->code = event->code;
}

/* Adopt a decoded snapshot, and delay serving the slices that this node may
   have got through records that the snapshot replaces.  */
void
core_on_snapshot (struct core *core,
                  const struct event_snapshot_decoded *event, gint64 now,
                  struct actions *out)
{
  guint64 before = core->view.applied_offset;

  snapshot_read_loaded (core, event, out);
  if (core->view.applied_offset > before)
    guard_after_snapshot (core, before, now);
}
