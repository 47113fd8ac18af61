#include "decide/route.h"

#include "decide/core.h"
#include "decide/inflight.h"

/* What is known of the load of the node that has FLIGHT, or NULL if that node
   is out.  */
static struct peer_load *
load_of (struct core *core, const struct inflight *inflight)
{
  struct handle node
      = inflight->phase == INFLIGHT_FORWARDED
            ? view_find_node (&core->view, inflight->forwarded_to)
            : core->self;

  return handle_is_set (node) ? table_mirror (&core->loads, node) : NULL;
}

/* Learn from the end of an attempt how long requests take there, or that it
   has GONE without telling.  */
void
route_update_load (struct core *core, const struct inflight *inflight,
                   gboolean gone, gint64 now)
{
  struct peer_load *load = load_of (core, inflight);

  if (load == NULL
      || (inflight->phase != INFLIGHT_FORWARDED
          && inflight->phase != INFLIGHT_RUNNING))
    return;
  if (gone)
    peer_load_on_cancelled (load);
  else
    peer_load_on_ended (load, inflight->sent_at, now);
}
