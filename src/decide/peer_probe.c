#include "decide/peer_probe.h"

#include "decide/breaker.h"
#include "decide/core.h"

/* Have the connection to PEER retired.  */
static void
close_connection (guint64 peer, struct actions *out)
{
  struct log_event *log_event
      = &actions_add (out, ACTION_LOG_EVENT)->u.log_event;

  log_event->id = LOG_EVENT_CONNECTION;
  log_event->node = peer;
  actions_add (out, ACTION_DROP_CONNECTIONS)
      ->u.drop_connections.peer_incarnation
      = peer;
}

/* Report to the circuit breaker of the node H that a call was lost.  */
static void
report_failure (struct core *core, struct handle h, gint64 now,
                struct actions *out)
{
  struct breaker *breaker = table_mirror (&core->breakers, h);
  struct log_event *log_event;

  if (!breaker_on_result (breaker, BREAKER_FAILURE, now))
    return;
  log_event = &actions_add (out, ACTION_LOG_EVENT)->u.log_event;
  log_event->id = LOG_EVENT_ROUTE_BREAKER;
  log_event->node = view_incarnation (&core->view, h);
  log_event->code = REASON_PEER_LOST;
}

/* Probe PEER, which has let a request wait, unless it was probed less than
   PEER_PROBE_INTERVAL_USEC ago.  */
void
peer_probe_send (struct core *core, guint64 peer, gint64 now,
                 struct actions *out)
{
  struct handle h = view_find_node (&core->view, peer);
  const struct view_node *node = view_node_at (&core->view, h);
  struct peer_probe *probe;
  struct action_peer_call *call;

  if (node == NULL)
    return;
  probe = table_mirror (&core->peer_probes, h);
  if (now < probe->next_probe_at)
    return;
  probe->next_probe_at = now + PEER_PROBE_INTERVAL_USEC;
  call = peers_call (core, node, PEER_APPLIED, now, out);
  call->deadline = now + PEER_PROBE_TIMEOUT_USEC;
  call->body.u.applied.incarnation = core->settings.incarnation;
  call->body.u.applied.applied_offset = core->view.applied_offset;
}

/* Handle a reply of another node, or that none came before the deadline of the
   call.  */
void
peer_probe_on_reply (struct core *core, const struct event_peer_reply *event,
                     gint64 now, struct actions *out)
{
  struct handle h = view_find_node (&core->view, event->peer_incarnation);
  struct peer_probe *probe;

  if (!handle_is_set (h))
    return;
  probe = table_mirror (&core->peer_probes, h);
  if (event->body.code != ERR_TIMEOUT)
    {
      probe->timeout_count = 0;
      return;
    }
  probe->timeout_count++;
  report_failure (core, h, now, out);
  if (probe->timeout_count < PEER_PROBE_TIMEOUTS_MAX)
    return;
  probe->timeout_count = 0;
  close_connection (event->peer_incarnation, out);
}
