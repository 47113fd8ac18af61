#include "decide/core.h"

#include "decide/breaker.h"
#include "decide/certificate.h"
#include "decide/core_take.h"
#include "decide/flight.h"
#include "decide/member.h"
#include "decide/plan.h"
#include "decide/removal.h"
#include "decide/route.h"
#include "decide/silence.h"
#include "decide/timing.h"

#include <string.h>

/* Entries of the deduplication table checked in each step.  */
#define ONCE_SWEEP_PER_STEP 256u

/* Set up the core of a node that has not read the log yet.  */
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
  table_init (&core->silences, sizeof (struct silence));
  outbox_init (&core->outbox, settings->incarnation);
  planner_init (&core->planner);
  meter_init (&core->meter);
  hot_init (&core->hot);
  table_init (&core->flights, sizeof (struct flight));
  core->attempt = settings->seed;
}

/* Release the memory of CORE.  */
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
  table_clear (&core->silences);
  outbox_clear (&core->outbox);
  fetch_clear (&core->fetch);
  planner_clear (&core->planner);
  meter_clear (&core->meter);
  snapshot_write_clear (&core->snapshot_writer);
  snapshot_read_clear (&core->snapshot_reader);
  table_clear (&core->flights);
}

/* Run all periodic work that is due at NOW.  A node that has skipped a record
   of a newer format version no longer knows who owns what: it lets its lease
   expire, proposes nothing, and ends the requests it has accepted.  */
static void
run_periodic (struct core *core, gint64 now, struct actions *out)
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

/* Process EVENT at NOW, in monotonic microseconds, and append the resulting
   actions to OUT.  A long gap since the last event means that the process was
   paused; unresponsiveness of lease holders is then counted from NOW on.  */
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
      run_periodic (core, now, out);
      drain_step (core, event->u.tick.exchanges, now, out);
      outbox_send (&core->outbox, now, out);
      break;
    case EVENT_RECORDS:
      core_take_records (core, &event->u.records, now, out);
      run_periodic (core, now, out);
      break;
    case EVENT_LOG_FAILED:
      core_take_log_failed (core, &event->u.log_failed, now, out);
      break;
    case EVENT_APPENDED:
      outbox_on_appended (&core->outbox, &event->u.appended, now, out);
      break;
    case EVENT_SERVER_UP:
      core_take_server_up (core, &event->u.server_up, now, out);
      break;
    case EVENT_SERVER_DOWN:
      core_take_server_down (core, &event->u.server_down, now, out);
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
      core_take_peer_call (core, &event->u.peer_call, now, out);
      break;
    case EVENT_PEER_REPLY:
      silence_on_reply (core, &event->u.peer_reply, now, out);
      core_take_peer_reply (core, &event->u.peer_reply, now, out);
      break;
    case EVENT_DRAIN:
      drain_begin (core);
      break;
    case EVENT_SNAPSHOT:
      core_take_snapshot (core, &event->u.snapshot, now, out);
      break;
    case EVENT_SNAPSHOT_BYTES:
      snapshot_write_bytes (core, &event->u.snapshot_bytes);
      break;
    case EVENT_SERVER_LOAD:
      gate_on_load (&core->gate, event->u.server_load.busy,
                    event->u.server_load.measured);
      break;
    case EVENT_ROUTING:
    case EVENT_FLEET:
    case EVENT_STORE:
    case EVENT_STORED:
    case EVENT_BEAT:
    case EVENT_BEAT_END:
    case EVENT_MESH_CALL:
    case EVENT_MESH_REPLY:
      break;
    }
}
