#include "decide/reply.h"

#include "decide/core.h"
#include "decide/flight.h"

#include <string.h>

/* Append a log event ID about REQUEST to OUT.  The pointer is valid until the
   next action is added.  */
struct note *
reply_note (struct actions *out, enum note_id id,
            const struct request *request)
{
  struct note *note = &actions_add (out, ACTION_NOTE)->u.note;

  note->id = id;
  g_strlcpy (note->service, request->service, sizeof note->service);
  g_strlcpy (note->key, request->key, sizeof note->key);
  g_strlcpy (note->text, request->id, sizeof note->text);
  note->slice = request->slice;
  note->has_slice = request->key[0] != '\0';
  return note;
}

/* Return the outcome of a request whose last attempt ended with OUTCOME: if an
   earlier attempt may have run, the request may have run.  */
static enum outcome
overall_outcome (const struct flight *flight, enum outcome outcome)
{
  if (outcome == OUTCOME_NOT_RUN && flight->may_have_run)
    return OUTCOME_UNKNOWN;
  return outcome;
}

/* End the request EXCHANGE as END says and drop it.  If it has not run, its id
   is removed from the deduplication table too.  */
void
reply_send (struct core *core, struct handle exchange,
            const struct reply_end *end, struct actions *out)
{
  struct flight *flight = table_get (&core->flights, exchange);
  struct action_answer *action;

  reply_note (out, NOTE_ROUTE_REFUSED, &flight->request)->code = end->reason;
  if (flight->remembered && end->outcome == OUTCOME_NOT_RUN)
    once_forget (&core->once, &flight->request);
  action = &actions_add (out, ACTION_ANSWER)->u.answer;
  action->exchange = exchange;
  action->outcome = overall_outcome (flight, end->outcome);
  action->reason = end->reason;
  action->stamp = end->stamp;
  action->retry_msec = end->retry_msec;
  table_remove (&core->flights, exchange);
}

/* End the request EXCHANGE as not run for REASON.  */
void
reply_not_run (struct core *core, struct handle exchange, enum reason reason,
               struct actions *out)
{
  struct reply_end end = { .outcome = OUTCOME_NOT_RUN, .reason = reason };

  reply_send (core, exchange, &end, out);
}
