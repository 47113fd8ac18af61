#include "decide/core.h"

#include <stdio.h>

/* Shows how the decisions of a node are driven by hand: one core is told
   events at times that are made up, and what it wants done is printed.  */

/* Tell CORE of EVENT at NOW, and print the kinds of the actions.  */
static void
tell (struct core *core, const char *what, const struct event *event,
      gint64 now)
{
  struct actions actions;
  guint i;

  actions_init (&actions);
  core_step (core, event, now, &actions);
  printf ("%8" G_GINT64_FORMAT " us  %s:", now, what);
  for (i = 0; i < actions.items->len; i++)
    {
      const struct action *action = actions_at (&actions, i);
      if (action->kind == ACTION_APPEND)
        printf (" append-%s", record_kind_name (action->u.append.record.kind));
      else if (action->kind == ACTION_LOG_EVENT)
        printf (" note-%s", log_event_name (action->u.log_event.id));
      else
        printf (" action-%d", (int)action->kind);
    }
  printf ("\n");
  actions_clear (&actions);
}

int
main (void)
{
  struct core_settings settings = { .incarnation = 1,
                                    .host = "host-1",
                                    .zone = "caerdydd",
                                    .region = "cymru",
                                    .service = "enquiry-desk",
                                    .peer_address = { 0x7f000001, 4001 } };
  struct event up = { .kind = EVENT_SERVER_UP };
  struct event tail = { .kind = EVENT_RECORDS };
  struct event tick = { .kind = EVENT_TICK };
  struct core core;

  core_init (&core, &settings);
  up.u.server_up.slots = 20;
  tail.u.records.at_end = TRUE;
  tail.u.records.from_log = TRUE;
  tell (&core, "the server announces itself", &up, 1000);
  tell (&core, "the log was read to its tail", &tail, 2000);
  tell (&core, "50 ms later", &tick, 52000);
  core_clear (&core);
  return 0;
}
