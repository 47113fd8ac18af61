#include "mesh/mesh_parts.h"

#define ROUTE_AGAIN_USEC ((gint64)25000) /* before an owner is tried again */
#define ROUTE_AGAIN_MOST 6u              /* longest wait, as so many */

/* An attempt needs so long at least: less is no use to the caller.  */
#define ATTEMPT_LEAST_USEC ((gint64)30000)

/* A request that is not divided is offered to so many nodes.  */
#define OFFERS_MAX 3u

/* Have TRANSIT not be sent to the member that it was at last.  */
static void
strike (struct mesh_request *mesh_request)
{
  if (mesh_request->tried_count < MESH_REQUEST_TRIED_MAX)
    mesh_request->tried_members[mesh_request->tried_count]
        = mesh_request->sent_to;
  mesh_request->tried_count++;
}

/* Tell whether the one server that holds a key may run a request for it soon,
   or another that takes it over, though it was not run for REASON.  */
static gboolean
may_run_soon (enum reason reason)
{
  switch (reason)
    {
    case REASON_NOT_OWNER:
    case REASON_NO_OWNER:
    case REASON_LEASE_EXPIRED:
    case REASON_PEER_LOST:
    case REASON_DRAINING:
    case REASON_SERVER_DOWN:
    case REASON_MISDIRECTED:
    case REASON_SHED:
      return TRUE;
    default:
      return FALSE;
    }
}

/* The request EXCHANGE was not run where it was last: try elsewhere or later,
   or refuse it.  */
void
mesh_attempt_not_run (struct mesh *mesh, struct handle exchange,
                      const struct event_attempt_ended *event, gint64 now,
                      struct actions *out)
{
  struct mesh_request *mesh_request = table_get (&mesh->requests, exchange);
  gboolean keyed = mesh_is_sharded (mesh, mesh_request->request.service);
  gint64 left = mesh_request->request.deadline - now;
  gint64 advice = (gint64)event->retry_after_msec * USEC_PER_MSEC;

  strike (mesh_request);
  if (mesh_request->request.forwarded || !event->body_replayable
      || left < ATTEMPT_LEAST_USEC
      || (event->reason == REASON_SHED
          && !mesh_spend_retry (mesh, mesh_request)))
    mesh_refuse (mesh, exchange, event->reason, advice, now, out);
  else if (keyed && may_run_soon (event->reason))
    {
      mesh_request->phase = MESH_REQUEST_WAITING;
      mesh_request->retry_at
          = now
            + ROUTE_AGAIN_USEC
                  * MIN (mesh_request->tried_count, ROUTE_AGAIN_MOST);
      if (now - mesh_request->arrived_at > left)
        mesh_refuse (mesh, exchange, event->reason, advice, now, out);
    }
  else if (!keyed && mesh_request->tried_count < OFFERS_MAX
           && handle_is_set (mesh_pick (mesh, mesh_request, now).member))
    mesh_route_request (mesh, exchange, now, out);
  else
    mesh_refuse (mesh, exchange, event->reason, advice, now, out);
}

/* The request EXCHANGE, which entered here and goes to the server here, cannot
   be run for REASON; one from another node is that node's to send on.  The
   server may have room after RETRY_MSEC, 0 if that is not known.  */
void
mesh_reject_here (struct mesh *mesh, struct handle exchange,
                  enum reason reason, guint32 retry_msec, gint64 now,
                  struct actions *out)
{
  struct mesh_request *mesh_request = table_get (&mesh->requests, exchange);
  struct event_attempt_ended event = { .exchange = exchange,
                                       .outcome = OUTCOME_NOT_RUN,
                                       .reason = reason,
                                       .retry_after_msec = retry_msec,
                                       .body_replayable = TRUE };

  mesh_request->sent_to = fleet_state_find (&mesh->fleet, mesh->settings.name);
  mesh_attempt_not_run (mesh, exchange, &event, now, out);
}

/* Tell whether the answer that EVENT tells of is a failure that another run
   may not meet: the server has slots to spare, so that what failed is not for
   want of them.  */
static gboolean
is_failure (struct mesh *mesh, const struct mesh_request *mesh_request,
            const struct event_attempt_ended *event)
{
  const struct peer_state *peer_state
      = table_get (&mesh->peers, mesh_request->sent_to);
  const struct load_report *load = event->has_load || peer_state == NULL
                                       ? &event->load
                                       : &peer_state->load;

  return event->http_status >= HTTP_STATUS_SERVER_ERROR
         && !event->response_started
         && load->running + load->waiting < load->slots;
}

/* Tell whether TRANSIT may be sent again though it may have run.  */
static gboolean
may_repeat (struct mesh *mesh, const struct mesh_request *mesh_request,
            const struct event_attempt_ended *event, gint64 now)
{
  return mesh_request->request.run_class == RUN_IDEMPOTENT
         && !mesh_request->request.forwarded && event->body_replayable
         && event->reason != REASON_DEADLINE
         && mesh_request->reached_count < mesh_request->max_attempts
         && mesh_request->request.deadline - now > ATTEMPT_LEAST_USEC
         && mesh_spend_retry (mesh, mesh_request);
}

/* The request EXCHANGE may have run where it was last, and has no answer.  */
void
mesh_attempt_unknown (struct mesh *mesh, struct handle exchange,
                      const struct event_attempt_ended *event, gint64 now,
                      struct actions *out)
{
  struct mesh_request *mesh_request = table_get (&mesh->requests, exchange);

  mesh_request->may_have_run = TRUE;
  mesh_request->reached_count++;
  if (!may_repeat (mesh, mesh_request, event, now))
    {
      mesh_answer (mesh, exchange, OUTCOME_UNKNOWN, event->reason, 0, now,
                   out);
      return;
    }
  strike (mesh_request);
  mesh_route_request (mesh, exchange, now, out);
}

/* The request EXCHANGE has a whole answer.  A failure is not passed on where
   another run may do better.  */
void
mesh_attempt_done (struct mesh *mesh, struct handle exchange,
                   const struct event_attempt_ended *event, gint64 now,
                   struct actions *out)
{
  struct mesh_request *mesh_request = table_get (&mesh->requests, exchange);

  if (!is_failure (mesh, mesh_request, event)
      || mesh_request->reached_count + 1 >= mesh_request->max_attempts
      || !may_repeat (mesh, mesh_request, event, now))
    {
      mesh_remove_request (mesh, exchange, OUTCOME_DONE, REASON_NONE, now,
                           out);
      return;
    }
  mesh_log (out, LOG_EVENT_MESH_FAILED, mesh_request->request.id,
            "outcome=done status=%u at=%s took_ms=%" G_GINT64_FORMAT,
            event->http_status, mesh_member_name (mesh, mesh_request->sent_to),
            (now - mesh_request->sent_at) / USEC_PER_MSEC);
  mesh_request->may_have_run = TRUE;
  mesh_request->reached_count++;
  strike (mesh_request);
  mesh_route_request (mesh, exchange, now, out);
}
