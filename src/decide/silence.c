#include "decide/silence.h"

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

/* Another node replied to a call, or did not.  */
void
silence_on_reply (struct core *core, const struct event_peer_reply *event,
                  struct actions *out)
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
  if (silence->timeouts < SILENCE_TIMEOUTS)
    return;
  silence->timeouts = 0;
  close_connection (event->peer, out);
}
