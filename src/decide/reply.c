#include "decide/reply.h"

#include "decide/core.h"
#include "decide/inflight.h"

#include <string.h>

/* Add a note about REQUEST; good until the next action.  */
struct log_event *
reply_log (struct actions *out, enum log_event_id id,
           const struct request *request)
{
  struct log_event *log_event
      = &actions_add (out, ACTION_LOG_EVENT)->u.log_event;

  log_event->id = id;
  g_strlcpy (log_event->service, request->service, sizeof log_event->service);
  g_strlcpy (log_event->key, request->key, sizeof log_event->key);
  g_strlcpy (log_event->text, request->id, sizeof log_event->text);
  log_event->slice = request->slice;
  log_event->has_slice = request->key[0] != '\0';
  return log_event;
}

/* How a request ends whose last attempt ended as OUTCOME: it is not proved
   that it has not run if an attempt before may have.  */
static enum outcome
overall (const struct inflight *inflight, enum outcome outcome)
{
  if (outcome == OUTCOME_NOT_RUN && inflight->may_have_run)
    return OUTCOME_UNKNOWN;
  return outcome;
}

/* End the request EXCHANGE as END says and forget it.  An id that is
   remembered for it is forgotten too if it has not run.  */
void
reply_end_request (struct core *core, struct handle exchange,
                   const struct reply_result *end, struct actions *out)
{
  struct inflight *inflight = table_get (&core->requests, exchange);
  struct action_answer *action;

  reply_log (out, LOG_EVENT_ROUTE_REFUSED, &inflight->request)->code
      = end->reason;
  if (inflight->is_in_dedup && end->outcome == OUTCOME_NOT_RUN)
    dedup_remove (&core->dedup, &inflight->request);
  action = &actions_add (out, ACTION_ANSWER)->u.answer;
  action->exchange = exchange;
  action->outcome = overall (inflight, end->outcome);
  action->reason = end->reason;
  action->stamp = end->stamp;
  action->retry_after_msec = end->retry_msec;
  table_remove (&core->requests, exchange);
}

/* End the request EXCHANGE as not run for REASON.  */
void
reply_not_run (struct core *core, struct handle exchange, enum reason reason,
               struct actions *out)
{
  struct reply_result end = { .outcome = OUTCOME_NOT_RUN, .reason = reason };

  reply_end_request (core, exchange, &end, out);
}
