#include "decide/core.h"

#include <stdio.h>

/* Drives the decisions of a node without any input or output: passes events
   with made-up times to one core and prints the actions that it returns.  */

/* Pass EVENT, which LABEL describes, to CORE at time NOW in microseconds, and
   print the kinds of the resulting actions.  */
static void
step_and_print (struct core *core, const char *label,
                const struct event *event, gint64 now)
{
  struct actions actions;
  guint i;

  actions_init (&actions);
  core_step (core, event, now, &actions);
  printf ("%8" G_GINT64_FORMAT " us  %s:", now, label);
  for (i = 0; i < actions.items->len; i++)
    {
      const struct action *action = actions_at (&actions, i);
      if (action->kind == ACTION_APPEND)
        printf (" append-%s", record_kind_name (action->u.append.record.kind));
      else if (action->kind == ACTION_LOG_EVENT)
        printf (" log-%s", log_event_name (action->u.log_event.id));
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
  struct event server_up = { .kind = EVENT_SERVER_UP };
  struct event records = { .kind = EVENT_RECORDS };
  struct event tick = { .kind = EVENT_TICK };
  struct core core;

  core_init (&core, &settings);
  server_up.u.server_up.slots = 20;
  records.u.records.at_end = TRUE;
  records.u.records.from_log = TRUE;
  step_and_print (&core, "the server announces itself", &server_up, 1000);
  step_and_print (&core, "the log was read to its end", &records, 2000);
  step_and_print (&core, "50 ms later", &tick, 52000);
  core_clear (&core);
  return 0;
}
