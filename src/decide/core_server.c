#include "decide/core_take.h"

#include "decide/core.h"

/* Take over what the backend server announced of itself, and log it unless it
   is a repeat.  */
void
core_take_server_up (struct core *core, const struct event_server_up *event,
                     gint64 now, struct actions *out)
{
  gboolean is_repeat = core->has_server && core->gate.slots == event->slots;

  core->server = *event;
  core->has_server = TRUE;
  gate_on_up (&core->gate, event->slots, now);
  if (is_repeat)
    return;
  actions_add (out, ACTION_NOTE)->u.note.id = NOTE_SERVER_UP;
}

/* Stop admitting requests because the backend server cannot be reached.  If
   its process has died, the requests that it was running become suspects.  */
void
core_take_server_down (struct core *core,
                       const struct event_server_down *event, gint64 now,
                       struct actions *out)
{
  if (core->gate.slots == 0)
    return;
  if (event->gone)
    suspects_on_crash (core, now, out);
  core->gate.slots = 0;
  actions_add (out, ACTION_NOTE)->u.note.id = NOTE_SERVER_DOWN;
}
