#include "decide/core.h"

#include "decide/breaker.h"
#include "decide/certificate.h"
#include "decide/flight.h"
#include "decide/fold.h"
#include "decide/fold_owner.h"
#include "decide/member.h"
#include "decide/plan.h"
#include "decide/removal.h"
#include "decide/route.h"
#include "decide/timing.h"

#include <string.h>

#define ONCE_SWEEP_PER_STEP 256u /* remembered ids looked at */

/* Set up a node that has read nothing yet.  */
void
core_init (struct core *core, const struct core_settings *settings)
{
  memset (core, 0, sizeof *core);
  core->settings = *settings;
  view_init (&core->view);
  lease_init (&core->lease);
  witness_init (&core->witness);
  peers_init (&core->peers);
  table_init (&core->removals, sizeof (struct removal));
  table_init (&core->certificates, sizeof (struct certificate));
  hold_init (&core->hold);
  moves_init (&core->moves);
  gate_init (&core->gate);
  once_init (&core->once);
  retry_budget_init (&core->retries);
  table_init (&core->breakers, sizeof (struct breaker));
  table_init (&core->loads, sizeof (struct peer_load));
  outbox_init (&core->outbox, settings->incarnation);
  planner_init (&core->planner);
  meter_init (&core->meter);
  hot_init (&core->hot);
  table_init (&core->flights, sizeof (struct flight));
  core->attempt = settings->seed;
}

/* Release what CORE holds.  */
void
core_clear (struct core *core)
{
  view_clear (&core->view);
  witness_clear (&core->witness);
  peers_clear (&core->peers);
  table_clear (&core->removals);
  table_clear (&core->certificates);
  hold_clear (&core->hold);
  moves_clear (&core->moves);
  gate_clear (&core->gate);
  once_clear (&core->once);
  table_clear (&core->breakers);
  table_clear (&core->loads);
  outbox_clear (&core->outbox);
  fetch_clear (&core->fetch);
  planner_clear (&core->planner);
  meter_clear (&core->meter);
  snapshot_write_clear (&core->snapshot_writer);
  snapshot_read_clear (&core->snapshot_reader);
  table_clear (&core->flights);
}

/* The log */

/* Tell whether records are missing between VIEW and those that EVENT tells. */
static gboolean
has_hole (const struct view *view, const struct event_records *event)
{
  return event->count > 0 && event->items[0].offset > view->next;
}

/* Fold records that were read.  */
static void
take_records (struct core *core, const struct event_records *event, gint64 now,
              struct actions *out)
{
  const struct view_service *service;
  guint i;

  if (event->from_log && core->log_down)
    {
      core->log_down = FALSE;
      actions_add (out, ACTION_NOTE)->u.note.id = NOTE_LOG_UP;
    }
  if (!event->from_log && has_hole (&core->view, event))
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
        core->settled_at = now + SETTLE_USEC;
    }
  if (event->at_tail)
    {
      core->at_tail = TRUE;
      outbox_on_tail (&core->outbox, event->next, event->begun, now, out);
    }
  service = view_find_service (&core->view, core->settings.service);
  core->gate.limit = service != NULL ? service->config.queue : 0;
}

/* Note that the log cannot be read.  */
static void
take_log_failed (struct core *core, const struct event_log_failed *event,
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

/* The backend server */

/* The server announced itself.  */
static void
take_server_up (struct core *core, const struct event_server_up *event,
                gint64 now, struct actions *out)
{
  gboolean again = core->has_server && core->gate.slots == event->slots;

  core->server = *event;
  core->has_server = TRUE;
  gate_on_up (&core->gate, event->slots, now);
  if (again)
    return;
  actions_add (out, ACTION_NOTE)->u.note.id = NOTE_SERVER_UP;
}

/* The server cannot be reached.  */
static void
take_server_down (struct core *core, const struct event_server_down *event,
                  gint64 now, struct actions *out)
{
  if (core->gate.slots == 0)
    return;
  if (event->gone)
    suspects_on_crash (core, now, out);
  core->gate.slots = 0;
  actions_add (out, ACTION_NOTE)->u.note.id = NOTE_SERVER_DOWN;
}

/* Other nodes */

/* Answer a renewal.  */
static void
take_renew (struct core *core, const struct peer_renew *call, gint64 now,
            struct peer_renew_reply *reply)
{
  struct handle holder = view_find_node (&core->view, call->incarnation);

  peers_note_folded (&core->peers, call->incarnation, call->folded);
  witness_on_renew (&core->witness, call, fold_is_alive (&core->view, holder),
                    core->view.next, now, reply);
}

/* Answer a request for a promise.  */
static void
take_promise (struct core *core, const struct peer_promise *call, gint64 now,
              struct peer_promise_reply *reply, struct actions *out)
{
  struct note *note;

  witness_on_promise (&core->witness, call, now, reply);
  if (!reply->promised)
    return;
  note = &actions_add (out, ACTION_NOTE)->u.note;
  note->id = NOTE_PROMISE;
  note->node = call->target;
}

/* Answer a call from another node.  */
static void
take_peer_call (struct core *core, const struct event_peer_call *event,
                gint64 now, struct actions *out)
{
  const struct peer_call *call = &event->body;
  struct peer_reply reply = { .kind = call->kind };
  struct action_reply *action;

  if (call->kind == PEER_FETCH
      && (call->to == 0 || call->to == core->settings.incarnation))
    {
      fetch_on_call (core, event, out);
      return;
    }
  if (call->to != core->settings.incarnation)
    reply.code = ERR_NOT_FOUND;
  else
    switch (call->kind)
      {
      case PEER_RENEW:
        take_renew (core, &call->u.renew, now, &reply.u.renew);
        break;
      case PEER_PROMISE:
        take_promise (core, &call->u.promise, now, &reply.u.promise, out);
        break;
      case PEER_FOLDED:
        peers_note_folded (&core->peers, call->u.folded.incarnation,
                           call->u.folded.offset);
        break;
      case PEER_RELEASED:
        moves_on_released (core, &call->u.released);
        break;
      case PEER_CERTIFIED:
        certificate_on_call (core, &call->u.certified, now, out);
        break;
      case PEER_FETCH:
        break;
      }
  action = &actions_add (out, ACTION_REPLY)->u.reply;
  action->call = event->call;
  action->xid = event->xid;
  action->body = reply;
}

/* Take in the reply of another node.  */
static void
take_peer_reply (struct core *core, const struct event_peer_reply *event,
                 gint64 now, struct actions *out)
{
  const struct peer_reply *reply = &event->body;

  fetch_on_reply (core, event, now, out);
  if (reply->code != ERR_NONE)
    return;
  switch (reply->kind)
    {
    case PEER_RENEW:
      peers_note_folded (&core->peers, event->peer, reply->u.renew.folded);
      lease_on_reply (&core->lease, event->peer, &reply->u.renew);
      break;
    case PEER_PROMISE:
      removal_on_reply (core, event, now, out);
      break;
    case PEER_FOLDED:
    case PEER_RELEASED:
      moves_on_reply (core, event);
      break;
    case PEER_FETCH:
    case PEER_CERTIFIED:
      break;
    }
}

/* Do what is due at NOW.  A node that has passed over a record of a later
   version no longer knows who owns what: it lets its lease lapse, proposes
   nothing, and ends what is in its hands.  */
static void
step_all (struct core *core, gint64 now, struct actions *out)
{
  if (core->view.unread == 0)
    {
      member_step (core, now, out);
      moves_step (core, now, out);
      lease_step (&core->lease, &core->view, core->self, moves_limit (core),
                  now, &core->call_serial, out);
      removal_step (core, now, out);
      certificate_step (core, now, out);
      plan_step (core, now, out);
      hot_step (core, now, out);
      snapshot_write_step (core, now, out);
      outbox_send (&core->outbox, now, out);
    }
  relay_step (core, now, out);
  fetch_step (core, now, out);
  route_step (core, now, out);
  once_sweep (&core->once, ONCE_SWEEP_PER_STEP, now);
}

/* Take in EVENT at NOW, in monotonic microseconds, and add to OUT what is to
   be done.  */
void
core_step (struct core *core, const struct event *event, gint64 now,
           struct actions *out)
{
  if (now - core->stepped_at > PAUSE_USEC)
    core->witness.awake_since = now;
  core->stepped_at = now;
  switch (event->kind)
    {
    case EVENT_TICK:
      step_all (core, now, out);
      drain_step (core, event->u.tick.exchanges, now, out);
      outbox_send (&core->outbox, now, out);
      break;
    case EVENT_RECORDS:
      take_records (core, &event->u.records, now, out);
      step_all (core, now, out);
      break;
    case EVENT_LOG_FAILED:
      take_log_failed (core, &event->u.log_failed, now, out);
      break;
    case EVENT_APPENDED:
      outbox_on_appended (&core->outbox, &event->u.appended, now, out);
      break;
    case EVENT_SERVER_UP:
      take_server_up (core, &event->u.server_up, now, out);
      break;
    case EVENT_SERVER_DOWN:
      take_server_down (core, &event->u.server_down, now, out);
      break;
    case EVENT_REQUEST:
      route_request (core, &event->u.request, now, out);
      break;
    case EVENT_ENDED:
      route_ended (core, &event->u.ended, now, out);
      break;
    case EVENT_GONE:
      route_gone (core, event->u.gone.exchange, now, out);
      break;
    case EVENT_PEER_CALL:
      take_peer_call (core, &event->u.peer_call, now, out);
      break;
    case EVENT_PEER_REPLY:
      take_peer_reply (core, &event->u.peer_reply, now, out);
      break;
    case EVENT_DRAIN:
      drain_begin (core);
      break;
    case EVENT_SNAPSHOT:
      snapshot_read_loaded (core, &event->u.snapshot, out);
      break;
    case EVENT_SNAPSHOT_BYTES:
      snapshot_write_bytes (core, &event->u.snapshot_bytes);
      break;
    case EVENT_SERVER_LOAD:
      gate_on_load (&core->gate, event->u.server_load.busy,
                    event->u.server_load.measured);
      break;
    case EVENT_GRANTED:
      break;
    }
}
