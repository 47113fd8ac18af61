#include "mesh/mesh_parts.h"

#define RETRY_LEAST_USEC ((gint64)50000)    /* shortest advice */
#define RETRY_UNKNOWN_USEC ((gint64)250000) /* where no better is known */
#define ROUTE_AGAIN_USEC ((gint64)25000) /* before an owner is tried again */
#define ROUTE_AGAIN_MOST 6u              /* longest wait, as so many */

/* An attempt needs so long at least: less is no use to the caller.  */
#define ATTEMPT_LEAST_USEC ((gint64)30000)

/* A request that is not divided is offered to so many nodes.  */
#define OFFERS_MAX 3u

/* Ends */

/* The name of the node under H, or an empty text.  */
static const char *
member_name (struct mesh *mesh, struct handle h)
{
  const struct fleet_member *member = roster_member_at (&mesh->roster, h);

  return member != NULL ? member->name : "";
}

/* Forget the request EXCHANGE, and say how it ended.  */
static void
forget (struct mesh *mesh, struct handle exchange, enum outcome outcome,
        enum reason reason, gint64 now, struct actions *out)
{
  struct transit *transit = table_get (&mesh->transits, exchange);

  mesh_note (out, NOTE_MESH_END, transit->request.id,
             "outcome=%s reason=%s service=%s key=%s from=%s tries=%u "
             "took_ms=%" G_GINT64_FORMAT " left_ms=%" G_GINT64_FORMAT
             " config=%" G_GUINT64_FORMAT,
             outcome_name (outcome), reason_name (reason),
             transit->request.service, transit->request.key,
             transit->request.from_peer ? "node" : "caller",
             transit->request.attempt, (now - transit->came) / USEC_PER_MSEC,
             (transit->request.deadline - now) / USEC_PER_MSEC,
             mesh->routing != NULL ? mesh->routing->version : 0);
  table_remove (&mesh->transits, exchange);
}

/* End the request EXCHANGE with OUTCOME.  */
static void
answer (struct mesh *mesh, struct handle exchange, enum outcome outcome,
        enum reason reason, gint64 retry_usec, gint64 now, struct actions *out)
{
  struct action_answer *action = &actions_add (out, ACTION_ANSWER)->u.answer;

  action->exchange = exchange;
  action->outcome = outcome;
  action->reason = reason;
  action->retry_msec = (guint32)(retry_usec / USEC_PER_MSEC);
  forget (mesh, exchange, outcome, reason, now, out);
}

/* End the request EXCHANGE, which has not run in its last attempt, for REASON,
   with the advice to come again after RETRY_USEC, 0 if that is not known.  */
void
mesh_refuse (struct mesh *mesh, struct handle exchange, enum reason reason,
             gint64 retry_usec, gint64 now, struct actions *out)
{
  const struct transit *transit = table_get (&mesh->transits, exchange);

  if (retry_usec == 0)
    retry_usec = RETRY_UNKNOWN_USEC;
  answer (mesh, exchange,
          transit->may_have_run ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN, reason,
          MAX (retry_usec, RETRY_LEAST_USEC), now, out);
}

/* Other tries */

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
    case REASON_LEASE:
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
static void
not_run (struct mesh *mesh, struct handle exchange,
         const struct event_ended *event, gint64 now, struct actions *out)
{
  struct transit *transit = table_get (&mesh->transits, exchange);
  gboolean keyed = mesh_is_divided (mesh, transit->request.service);
  gint64 left = transit->request.deadline - now;
  gint64 advice = (gint64)event->retry_msec * USEC_PER_MSEC;

  strike (transit);
  if (transit->request.from_peer || !event->replayable
      || left < ATTEMPT_LEAST_USEC
      || (event->reason == REASON_SHED && !mesh_pay_retry (mesh, transit)))
    mesh_refuse (mesh, exchange, event->reason, advice, now, out);
  else if (keyed && may_run_soon (event->reason))
    {
      transit->phase = TRANSIT_WAITING;
      transit->retry_at
          = now + ROUTE_AGAIN_USEC * MIN (transit->tried, ROUTE_AGAIN_MOST);
      if (now - transit->came > left)
        mesh_refuse (mesh, exchange, event->reason, advice, now, out);
    }
  else if (!keyed && transit->tried < OFFERS_MAX)
    mesh_route_again (mesh, exchange, now, out);
  else
    mesh_refuse (mesh, exchange, event->reason, advice, now, out);
}

/* The request EXCHANGE, which entered here and goes to the server here, cannot
   be run for REASON; one from another node is that node's to send on.  */
void
mesh_failed_here (struct mesh *mesh, struct handle exchange,
                  enum reason reason, gint64 now, struct actions *out)
{
  struct transit *transit = table_get (&mesh->transits, exchange);
  struct event_ended event = { .exchange = exchange,
                               .outcome = OUTCOME_NOT_RUN,
                               .reason = reason,
                               .replayable = TRUE };

  transit->to = roster_find (&mesh->roster, mesh->settings.name);
  not_run (mesh, exchange, &event, now, out);
}

/* Tell whether the answer that EVENT tells of is a failure that another run
   may not meet: the server has slots to spare, so that what failed is not for
   want of them.  */
static gboolean
is_failure (struct mesh *mesh, const struct transit *transit,
            const struct event_ended *event)
{
  const struct upstream *upstream = table_get (&mesh->upstreams, transit->to);
  const struct load_report *load
      = event->has_load || upstream == NULL ? &event->load : &upstream->load;

  return event->status >= STATUS_FAILED && !event->passed_on
         && load->running + load->waiting < load->slots;
}

/* Tell whether TRANSIT may be sent again though it may have run.  */
static gboolean
may_repeat (struct mesh *mesh, const struct transit *transit,
            const struct event_ended *event, gint64 now)
{
  return transit->request.run_class == RUN_IDEMPOTENT
         && !transit->request.from_peer && event->replayable
         && event->reason != REASON_DEADLINE
         && transit->reached < transit->attempts
         && transit->request.deadline - now > ATTEMPT_LEAST_USEC
         && mesh_pay_retry (mesh, transit);
}

/* The request EXCHANGE may have run where it was last, and has no answer.  */
static void
unknown (struct mesh *mesh, struct handle exchange,
         const struct event_ended *event, gint64 now, struct actions *out)
{
  struct transit *transit = table_get (&mesh->transits, exchange);

  transit->may_have_run = TRUE;
  transit->reached++;
  if (!may_repeat (mesh, transit, event, now))
    {
      answer (mesh, exchange, OUTCOME_UNKNOWN, event->reason, 0, now, out);
      return;
    }
  strike (transit);
  mesh_route_again (mesh, exchange, now, out);
}

/* The request EXCHANGE has a whole answer.  A failure is not passed on where
   another run may do better.  */
static void
done (struct mesh *mesh, struct handle exchange,
      const struct event_ended *event, gint64 now, struct actions *out)
{
  struct transit *transit = table_get (&mesh->transits, exchange);

  if (!is_failure (mesh, transit, event)
      || transit->reached + 1 >= transit->attempts
      || !may_repeat (mesh, transit, event, now))
    {
      forget (mesh, exchange, OUTCOME_DONE, REASON_NONE, now, out);
      return;
    }
  mesh_note (out, NOTE_MESH_FAILED, transit->request.id,
             "outcome=done status=%u at=%s took_ms=%" G_GINT64_FORMAT,
             event->status, member_name (mesh, transit->to),
             (now - transit->sent) / USEC_PER_MSEC);
  transit->may_have_run = TRUE;
  transit->reached++;
  strike (transit);
  mesh_route_again (mesh, exchange, now, out);
}

/* Events */

/* Learn from an attempt at another node.  A refusal because the process that
   was meant is not there tells nothing of it.  */
static void
learn (struct mesh *mesh, const struct transit *transit,
       const struct event_ended *event, gint64 now)
{
  struct upstream *upstream = table_get (&mesh->upstreams, transit->to);

  if (upstream == NULL)
    return;
  if (upstream->flying > 0)
    upstream->flying--;
  if (event->has_load && event->reason != REASON_PEER_LOST)
    {
      upstream_on_word (upstream, now);
      upstream_on_load (upstream, &event->load, now);
    }
  if (event->reason == REASON_DEADLINE)
    return;
  breaker_on_ended (
      &upstream->breaker,
      event->reason == REASON_PEER_LOST ? BREAKER_LOST : BREAKER_REACHED, now);
}

/* Say that an attempt ended without an answer.  */
static void
note_failed (struct mesh *mesh, const struct transit *transit,
             const struct event_ended *event, gint64 now, struct actions *out)
{
  mesh_note (
      out, NOTE_MESH_FAILED, transit->request.id,
      "outcome=%s reason=%s at=%s took_ms=%" G_GINT64_FORMAT " retry_ms=%u",
      outcome_name (event->outcome), reason_name (event->reason),
      transit->phase == TRANSIT_RUNNING ? mesh->grant.life.id
                                        : member_name (mesh, transit->to),
      (now - transit->sent) / USEC_PER_MSEC, event->retry_msec);
}

/* An attempt ended.  */
void
mesh_ended (struct mesh *mesh, const struct event_ended *event, gint64 now,
            struct actions *out)
{
  struct transit *transit = table_get (&mesh->transits, event->exchange);

  if (transit == NULL)
    return;
  if (event->outcome != OUTCOME_DONE)
    note_failed (mesh, transit, event, now, out);
  if (transit->phase == TRANSIT_RUNNING)
    {
      transit->to = roster_find (&mesh->roster, mesh->settings.name);
      mesh_admit_ended (mesh, transit, event, now, out);
    }
  else
    learn (mesh, transit, event, now);
  switch (event->outcome)
    {
    case OUTCOME_DONE:
      done (mesh, event->exchange, event, now, out);
      break;
    case OUTCOME_NOT_RUN:
      not_run (mesh, event->exchange, event, now, out);
      break;
    case OUTCOME_UNKNOWN:
      unknown (mesh, event->exchange, event, now, out);
      break;
    }
  mesh_admit_next (mesh, now, out);
}

/* The caller or the node that EXCHANGE came from went away: its work is
   cancelled.  */
void
mesh_gone (struct mesh *mesh, struct handle exchange, gint64 now,
           struct actions *out)
{
  struct transit *transit = table_get (&mesh->transits, exchange);
  struct upstream *upstream;

  if (transit == NULL)
    return;
  gate_forget (&mesh->gate, exchange);
  upstream = table_get (&mesh->upstreams, transit->to);
  if (transit->phase == TRANSIT_RUNNING)
    gate_release (&mesh->gate);
  else if (transit->phase == TRANSIT_SENT && upstream != NULL
           && upstream->flying > 0)
    upstream->flying--;
  actions_add (out, ACTION_CANCEL)->u.cancel.exchange = exchange;
  forget (mesh, exchange, OUTCOME_UNKNOWN, REASON_CALLER_GONE, now, out);
  mesh_admit_next (mesh, now, out);
}

/* End the requests that have waited as long as they may.  */
void
mesh_expire (struct mesh *mesh, gint64 now, struct actions *out)
{
  struct handle h;

  while (gate_expire (&mesh->gate, now, &h))
    if (table_get (&mesh->transits, h) != NULL)
      mesh_refuse (mesh, h, REASON_OVERLOAD,
                   (gint64)gate_retry_msec (&mesh->gate, now) * USEC_PER_MSEC,
                   now, out);
  h = table_next (&mesh->transits, HANDLE_NONE);
  for (; handle_is_set (h); h = table_next (&mesh->transits, h))
    {
      const struct transit *transit = table_get (&mesh->transits, h);
      if (transit->phase == TRANSIT_WAITING
          && transit->request.deadline <= now)
        mesh_refuse (mesh, h, REASON_DEADLINE, 0, now, out);
    }
}
