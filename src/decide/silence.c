#include "decide/silence.h"

#include "decide/breaker.h"
#include "decide/core.h"

/* Have the connection to PEER closed.  */
static void
close_connection (guint64 peer, struct actions *out)
{
  struct note *note = &actions_add (out, ACTION_NOTE)->u.note;

  note->id = NOTE_CONNECTION;
  note->node = peer;
  actions_add (out, ACTION_SUSPECT_CONNECTION)->u.suspect.peer = peer;
}

/* Report to the circuit breaker of the node H that a call was lost.  */
static void
report_failure (struct core *core, struct handle h, gint64 now,
                struct actions *out)
{
  struct breaker *breaker = table_mirror (&core->breakers, h);
  struct note *note;

  if (!breaker_on_ended (breaker, BREAKER_LOST, now))
    return;
  note = &actions_add (out, ACTION_NOTE)->u.note;
  note->id = NOTE_ROUTE_BREAKER;
  note->node = view_incarnation (&core->view, h);
  note->code = REASON_PEER_LOST;
}

/* Probe PEER, which has let a request wait, unless it was probed less than
   PEER_PROBE_INTERVAL_USEC ago.  */
void
silence_probe (struct core *core, guint64 peer, gint64 now,
               struct actions *out)
{
  struct handle h = view_find_node (&core->view, peer);
  const struct view_node *node = view_node_at (&core->view, h);
  struct silence *silence;
  struct action_call *call;

  if (node == NULL)
    return;
  silence = table_mirror (&core->silences, h);
  if (now < silence->probe_at)
    return;
  silence->probe_at = now + SILENCE_PROBE_EVERY_USEC;
  call = peers_call (core, node, PEER_FOLDED, now, out);
  call->deadline = now + SILENCE_PROBE_USEC;
  call->body.u.folded.incarnation = core->settings.incarnation;
  call->body.u.folded.offset = core->view.next;
}

/* Handle a reply of another node, or that none came before the deadline of the
   call.  */
void
silence_on_reply (struct core *core, const struct event_peer_reply *event,
                  gint64 now, struct actions *out)
{
  struct handle h = view_find_node (&core->view, event->peer);
  struct silence *silence;

  if (!handle_is_set (h))
    return;
  silence = table_mirror (&core->silences, h);
  if (event->body.code != ERR_TIMEOUT)
    {
      silence->timeouts = 0;
      return;
    }
  silence->timeouts++;
  report_failure (core, h, now, out);
  if (silence->timeouts < SILENCE_TIMEOUTS)
    return;
  silence->timeouts = 0;
  close_connection (event->peer, out);
}
