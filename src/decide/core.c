#include "decide/core.h"

#include "decide/breaker.h"
#include "decide/certificate.h"
#include "decide/core_events.h"
#include "decide/inflight.h"
#include "decide/membership.h"
#include "decide/plan.h"
#include "decide/removal.h"
#include "decide/route.h"
#include "decide/peer_probe.h"
#include "decide/timing.h"

#include <string.h>

/* Entries of the deduplication table checked in each step.  */
#define DEDUP_SWEEP_PER_STEP 256u

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
  guard_init (&core->guard);
  moves_init (&core->moves);
  admission_init (&core->admission);
  dedup_init (&core->dedup);
  retry_budget_init (&core->retry_budget);
  table_init (&core->breakers, sizeof (struct breaker));
  table_init (&core->loads, sizeof (struct peer_load));
  table_init (&core->peer_probes, sizeof (struct peer_probe));
  outbox_init (&core->outbox, settings->incarnation);
  planner_init (&core->planner);
  meter_init (&core->meter);
  hot_init (&core->hot);
  table_init (&core->requests, sizeof (struct inflight));
  core->last_attempt_id = settings->random_seed;
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
  guard_clear (&core->guard);
  moves_clear (&core->moves);
  admission_clear (&core->admission);
  dedup_clear (&core->dedup);
  table_clear (&core->breakers);
  table_clear (&core->loads);
  table_clear (&core->peer_probes);
  outbox_clear (&core->outbox);
  fetch_clear (&core->fetch);
  planner_clear (&core->planner);
  meter_clear (&core->meter);
  snapshot_write_clear (&core->snapshot_writer);
  snapshot_read_clear (&core->snapshot_reader);
  table_clear (&core->requests);
}

/* Run all periodic work that is due at NOW.  A node that has skipped a record
   of a newer format version no longer knows who owns what: it lets its lease
   expire, proposes nothing, and ends the requests it has accepted.  */
static void
run_periodic (struct core *core, gint64 now, struct actions *out)
{
  if (core->view.unsupported_offset == 0)
    {
      membership_step (core, now, out);
      moves_step (core, now, out);
      lease_step (&core->lease, &core->view, core->self,
                  moves_handoff_limit (core), now, &core->last_call_serial,
                  out);
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
  dedup_sweep (&core->dedup, DEDUP_SWEEP_PER_STEP, now);
}

/* Process EVENT at NOW, in monotonic microseconds, and append the resulting
   actions to OUT.  A long gap since the last event means that the process was
   paused; unresponsiveness of lease holders is then counted from NOW on.  */
void
core_step (struct core *core, const struct event *event, gint64 now,
           struct actions *out)
{
  if (now - core->last_step_at > PROCESS_PAUSE_USEC)
    core->witness.running_since = now;
  core->last_step_at = now;
  switch (event->kind)
    {
    case EVENT_TICK:
      run_periodic (core, now, out);
      drain_step (core, &event->u.tick, now, out);
      outbox_send (&core->outbox, now, out);
      break;
    case EVENT_RECORDS:
      core_on_records (core, &event->u.records, now, out);
      run_periodic (core, now, out);
      break;
    case EVENT_LOG_FAILED:
      core_on_log_failed (core, &event->u.log_failed, now, out);
      break;
    case EVENT_APPENDED:
      outbox_on_appended (&core->outbox, &event->u.appended, now, out);
      break;
    case EVENT_SERVER_UP:
      core_on_server_up (core, &event->u.server_up, now, out);
      break;
    case EVENT_SERVER_DOWN:
      core_on_server_down (core, &event->u.server_down, now, out);
      break;
    case EVENT_REQUEST:
      if (!core->exit_requested && !core->drain.exit_requested)
        route_request (core, &event->u.request, now, out);
      break;
    case EVENT_ATTEMPT_ENDED:
      route_on_ended (core, &event->u.attempt_ended, now, out);
      break;
    case EVENT_DISCONNECTED:
      route_on_disconnected (core, event->u.disconnected.exchange, now, out);
      break;
    case EVENT_PEER_CALL:
      core_on_peer_call (core, &event->u.peer_call, now, out);
      break;
    case EVENT_PEER_REPLY:
      peer_probe_on_reply (core, &event->u.peer_reply, now, out);
      core_on_peer_reply (core, &event->u.peer_reply, now, out);
      break;
    case EVENT_DRAIN:
      drain_begin (core);
      break;
    case EVENT_SNAPSHOT_DECODED:
      core_on_snapshot (core, &event->u.snapshot_decoded, now, out);
      break;
    case EVENT_SNAPSHOT_ENCODED:
      snapshot_write_bytes (core, &event->u.snapshot_encoded);
      break;
    case EVENT_SERVER_LOAD:
      admission_on_load_report (&core->admission,
                                event->u.server_load.busy_slots,
                                event->u.server_load.measured_at);
      break;
    case EVENT_BODY_ENDED:
    case EVENT_ROUTING:
    case EVENT_FLEET_RECORDS:
    case EVENT_TOPIC_READ:
    case EVENT_STORE_APPENDED:
    case EVENT_HEARTBEAT:
    case EVENT_DEREGISTER:
    case EVENT_MESH_CALL:
    case EVENT_MESH_REPLY:
    case EVENT_KEY_ORDER_ENDED:
    case EVENT_EVACUATIONS:
      break;
    }
}
