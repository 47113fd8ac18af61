#include "decide/explain.h"

#include "decide/core.h"
#include "decide/slice.h"

#include <string.h>

/* Name a cause for machine-readable output.  */
const char *
explain_cause_name (enum explain_cause cause)
{
  switch (cause)
    {
    case EXPLAIN_NO_OWNER:
      return "no-owner";
    case EXPLAIN_ASSIGNED:
      return "assigned";
    case EXPLAIN_MOVING:
      return "moving";
    case EXPLAIN_UNSHARDED:
      return "undivided";
    }
  return "unnamed";
}

/* Fill in the owner of SLICE and what is to become of it.  */
static void
explain_slice (const struct core *core, const struct view_slice *slice,
               struct explanation *explanation)
{
  const struct view_node *owner = view_node_at (&core->view, slice->owner);
  const struct view_node *to = view_node_at (&core->view, slice->receiver);
  guint i;

  if (owner == NULL)
    return;
  explanation->cause = EXPLAIN_ASSIGNED;
  explanation->owner = *owner;
  explanation->owner_offset = slice->epoch;
  explanation->owner_is_self = handle_equal (slice->owner, core->self);
  for (i = 0; i < SUCCESSOR_MAX; i++)
    explanation->successors[i]
        = view_incarnation (&core->view, slice->successors[i]);
  if (slice->move_offset == 0 || to == NULL)
    return;
  explanation->cause = EXPLAIN_MOVING;
  explanation->move_offset = slice->move_offset;
  explanation->receiver = *to;
}

/* Explain who owns KEY of SERVICE, as this node sees it at NOW.  Return
   ERR_NOT_FOUND if there is no such service.  */
enum err
explain_key (const struct core *core, const char *service, const char *key,
             gint64 now, struct explanation *explanation)
{
  const struct view_service *found = view_find_service (&core->view, service);

  memset (explanation, 0, sizeof *explanation);
  if (found == NULL || !found->configured)
    return ERR_NOT_FOUND;
  explanation->lease_held = lease_is_held (&core->lease, now);
  if (!found->config.sharded)
    {
      explanation->cause = EXPLAIN_UNSHARDED;
      return ERR_NONE;
    }
  explanation->slice = slice_of_key (found, key);
  explanation->is_hot = explanation->slice >= found->config.slice_count;
  explain_slice (core, view_slice_at (found, explanation->slice), explanation);
  return ERR_NONE;
}
