#include "decide/core_events.h"

#include "decide/core.h"
#include "decide/certificate.h"
#include "decide/apply_owner.h"
#include "decide/removal.h"

/* Answer a lease renewal of another node, as its witness.  */
static void
answer_renewal (struct core *core, const struct peer_renew *call, gint64 now,
                struct peer_renew_reply *reply)
{
  struct handle holder = view_find_node (&core->view, call->incarnation);

  peers_note_applied (&core->peers, call->incarnation, call->applied_offset);
  witness_on_renew (&core->witness, call,
                    apply_node_is_alive (&core->view, holder),
                    core->view.applied_offset, now, reply);
}

/* Answer a request to promise never to ack the target again.  */
static void
answer_promise (struct core *core, const struct peer_promise *call, gint64 now,
                struct peer_promise_reply *reply, struct actions *out)
{
  struct log_event *log_event;

  witness_on_promise (&core->witness, call, now, reply);
  if (!reply->promised)
    return;
  log_event = &actions_add (out, ACTION_LOG_EVENT)->u.log_event;
  log_event->id = LOG_EVENT_PROMISE;
  log_event->node = call->target;
}

/* Answer a call from another node.  A call to another incarnation is answered
   with an error; only a snapshot fetch may leave the incarnation open.  */
void
core_on_peer_call (struct core *core, const struct event_peer_call *event,
                   gint64 now, struct actions *out)
{
  const struct peer_call *call = &event->body;
  struct peer_reply reply = { .kind = call->kind };
  struct action_peer_reply *action;

  if (call->kind == PEER_FETCH
      && (call->target_incarnation == 0
          || call->target_incarnation == core->settings.incarnation))
    {
      fetch_on_call (core, event, out);
      return;
    }
  if (call->target_incarnation != core->settings.incarnation)
    reply.code = ERR_NOT_FOUND;
  else
    switch (call->kind)
      {
      case PEER_RENEW:
        answer_renewal (core, &call->u.renew, now, &reply.u.renew);
        break;
      case PEER_PROMISE:
        answer_promise (core, &call->u.promise, now, &reply.u.promise, out);
        break;
      case PEER_APPLIED:
        peers_note_applied (&core->peers, call->u.applied.incarnation,
                            call->u.applied.applied_offset);
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
  action = &actions_add (out, ACTION_PEER_REPLY)->u.peer_reply;
  action->link = event->link;
  action->xid = event->xid;
  action->body = reply;
}

/* Process the reply of another node to a call of this one.  */
void
core_on_peer_reply (struct core *core, const struct event_peer_reply *event,
                    gint64 now, struct actions *out)
{
  const struct peer_reply *reply = &event->body;

  fetch_on_reply (core, event, now, out);
  if (reply->code != ERR_NONE)
    return;
  switch (reply->kind)
    {
    case PEER_RENEW:
      peers_note_applied (&core->peers, event->peer_incarnation,
                          reply->u.renew.applied_offset);
      lease_on_reply (&core->lease, event->peer_incarnation, &reply->u.renew);
      break;
    case PEER_PROMISE:
      removal_on_reply (core, event, now, out);
      break;
    case PEER_APPLIED:
    case PEER_RELEASED:
      moves_on_reply (core, event);
      break;
    case PEER_FETCH:
    case PEER_CERTIFIED:
      break;
    }
}
