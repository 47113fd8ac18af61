#include "decide/core_events.h"

#include "decide/core.h"

/* Store the announcement of the backend server, and log it unless a running
   server repeats the same number of slots.  */
void
core_on_server_up (struct core *core, const struct event_server_up *event,
                   gint64 now, struct actions *out)
{
  gboolean is_repeat
      = core->has_server && core->admission.slots == event->slots;

  core->server = *event;
  core->has_server = TRUE;
  admission_on_server_up (&core->admission, event->slots, now);
  if (is_repeat)
    return;
  actions_add (out, ACTION_LOG_EVENT)->u.log_event.id = LOG_EVENT_SERVER_UP;
}

/* Stop admitting requests because the backend server cannot be reached.  If
   the process of the server has died, the requests that it was running become
   suspects.  */
void
core_on_server_down (struct core *core, const struct event_server_down *event,
                     gint64 now, struct actions *out)
{
  if (core->admission.slots == 0)
    return;
  if (event->not_listening)
    suspects_on_crash (core, now, out);
  core->admission.slots = 0;
  actions_add (out, ACTION_LOG_EVENT)->u.log_event.id = LOG_EVENT_SERVER_DOWN;
}
