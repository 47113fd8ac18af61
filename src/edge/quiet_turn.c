#include "edge/quiet_turn.h"

/* Make the call.  */
static gboolean
on_quiet (gpointer data)
{
  struct quiet_turn *turn = data;

  turn->source = 0;
  turn->fn (turn->data);
  return G_SOURCE_REMOVE;
}

/* Have FN called with DATA once, unless a call is due already.  The loop
   dispatches a source of low priority only if no other one is ready.  */
void
quiet_turn_request (struct quiet_turn *turn, quiet_turn_fn *fn, gpointer data)
{
  if (turn->source != 0)
    return;
  turn->fn = fn;
  turn->data = data;
  turn->source = g_idle_add_full (G_PRIORITY_LOW, on_quiet, turn, NULL);
}

/* Cancel the call, if one is due.  */
void
quiet_turn_cancel (struct quiet_turn *turn)
{
  if (turn->source != 0)
    g_source_remove (turn->source);
  turn->source = 0;
}
