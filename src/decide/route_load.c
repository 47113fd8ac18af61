#include "decide/route.h"

#include "decide/core.h"
#include "decide/flight.h"

/* Return the load of the node that has INFLIGHT, or NULL if that node is
   removed.  */
static struct peer_load *
load_of (struct core *core, const struct flight *flight)
{
  struct handle node = flight->phase == FLIGHT_FORWARDED
                           ? view_find_node (&core->view, flight->peer)
                           : core->self;

  return handle_is_set (node) ? table_mirror (&core->loads, node) : NULL;
}

/* Update the load of the node that has INFLIGHT from the end of the attempt.
   With CANCELLED the attempt ended early and gives no measurement.  */
void
route_learn_load (struct core *core, const struct flight *flight,
                  gboolean cancelled, gint64 now)
{
  struct peer_load *load = load_of (core, flight);

  if (load == NULL
      || (flight->phase != FLIGHT_FORWARDED
          && flight->phase != FLIGHT_RUNNING))
    return;
  if (cancelled)
    peer_load_on_gone (load);
  else
    peer_load_on_ended (load, flight->sent, now);
}
