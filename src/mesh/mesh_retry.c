#include "mesh/mesh_parts.h"

#define ROUTE_AGAIN_USEC ((gint64)25000) /* before an owner is tried again */
#define ROUTE_AGAIN_MOST 6u              /* longest wait, as so many */

/* An attempt needs so long at least: less is no use to the caller.  */
#define ATTEMPT_LEAST_USEC ((gint64)30000)

/* A request that is not divided is offered to so many nodes.  */
#define OFFERS_MAX 3u

/* Have TRANSIT not be sent to the member that it was at last.  */
static void
strike (struct transit *transit)
{
  if (transit->tried < TRANSIT_TRIED_MAX)
    transit->past[transit->tried] = transit->to;
  transit->tried++;
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
              const struct event_attempt_ended *event, gint64 now, struct actions *out)
{
  struct transit *transit = table_get (&mesh->requests, exchange);
  gboolean keyed = mesh_is_sharded (mesh, transit->request.service);
  gint64 left = transit->request.deadline - now;
  gint64 advice = (gint64)event->retry_after_msec * USEC_PER_MSEC;

  strike (transit);
  if (transit->request.forwarded || !event->body_replayable
      || left < ATTEMPT_LEAST_USEC
      || (event->reason == REASON_SHED && !mesh_spend_retry (mesh, transit)))
    mesh_refuse (mesh, exchange, event->reason, advice, now, out);
  else if (keyed && may_run_soon (event->reason))
    {
      transit->phase = TRANSIT_WAITING;
      transit->retry_at
          = now + ROUTE_AGAIN_USEC * MIN (transit->tried, ROUTE_AGAIN_MOST);
      if (now - transit->came > left)
        mesh_refuse (mesh, exchange, event->reason, advice, now, out);
    }
  else if (!keyed && transit->tried < OFFERS_MAX
           && handle_is_set (mesh_pick (mesh, transit, now).member))
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
  struct transit *transit = table_get (&mesh->requests, exchange);
  struct event_attempt_ended event = { .exchange = exchange,
                               .outcome = OUTCOME_NOT_RUN,
                               .reason = reason,
                               .retry_after_msec = retry_msec,
                               .body_replayable = TRUE };

  transit->to = roster_find (&mesh->fleet, mesh->settings.name);
  mesh_attempt_not_run (mesh, exchange, &event, now, out);
}

/* Tell whether the answer that EVENT tells of is a failure that another run
   may not meet: the server has slots to spare, so that what failed is not for
   want of them.  */
static gboolean
is_failure (struct mesh *mesh, const struct transit *transit,
            const struct event_attempt_ended *event)
{
  const struct upstream *upstream = table_get (&mesh->peers, transit->to);
  const struct load_report *load
      = event->has_load || upstream == NULL ? &event->load : &upstream->load;

  return event->http_status >= HTTP_STATUS_SERVER_ERROR && !event->response_started
         && load->running + load->waiting < load->slots;
}

/* Tell whether TRANSIT may be sent again though it may have run.  */
static gboolean
may_repeat (struct mesh *mesh, const struct transit *transit,
            const struct event_attempt_ended *event, gint64 now)
{
  return transit->request.run_class == RUN_IDEMPOTENT
         && !transit->request.forwarded && event->body_replayable
         && event->reason != REASON_DEADLINE
         && transit->reached < transit->attempts
         && transit->request.deadline - now > ATTEMPT_LEAST_USEC
         && mesh_spend_retry (mesh, transit);
}

/* The request EXCHANGE may have run where it was last, and has no answer.  */
void
mesh_attempt_unknown (struct mesh *mesh, struct handle exchange,
              const struct event_attempt_ended *event, gint64 now, struct actions *out)
{
  struct transit *transit = table_get (&mesh->requests, exchange);

  transit->may_have_run = TRUE;
  transit->reached++;
  if (!may_repeat (mesh, transit, event, now))
    {
      mesh_answer (mesh, exchange, OUTCOME_UNKNOWN, event->reason, 0, now,
                   out);
      return;
    }
  strike (transit);
  mesh_route_request (mesh, exchange, now, out);
}

/* The request EXCHANGE has a whole answer.  A failure is not passed on where
   another run may do better.  */
void
mesh_attempt_done (struct mesh *mesh, struct handle exchange,
           const struct event_attempt_ended *event, gint64 now, struct actions *out)
{
  struct transit *transit = table_get (&mesh->requests, exchange);

  if (!is_failure (mesh, transit, event)
      || transit->reached + 1 >= transit->attempts
      || !may_repeat (mesh, transit, event, now))
    {
      mesh_remove_request (mesh, exchange, OUTCOME_DONE, REASON_NONE, now, out);
      return;
    }
  mesh_log (out, LOG_EVENT_MESH_FAILED, transit->request.id,
             "outcome=done status=%u at=%s took_ms=%" G_GINT64_FORMAT,
             event->http_status, mesh_member_name (mesh, transit->to),
             (now - transit->sent) / USEC_PER_MSEC);
  transit->may_have_run = TRUE;
  transit->reached++;
  strike (transit);
  mesh_route_request (mesh, exchange, now, out);
}
