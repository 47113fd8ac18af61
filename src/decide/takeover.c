#include "decide/takeover.h"

#include "decide/certificate.h"
#include "decide/core.h"
#include "decide/apply_owner.h"

/* Tell whether the node under H provably serves nothing: it is removed or
   replaced, or there is a certificate and this node has applied the log past
   its floor.  Raise SERVE_AT to the time at which the last requests of that
   node have ended.  */
static gboolean
serves_nothing (const struct core *core, struct handle h, gint64 *serve_at)
{
  const struct view_node *node = view_node_at (&core->view, h);
  const struct certificate *certificate;

  if (!apply_node_is_alive (&core->view, h))
    return TRUE;
  certificate = certificate_find (core, node->join.incarnation);
  if (certificate == NULL || core->view.applied_offset <= certificate->floor)
    return FALSE;
  *serve_at = MAX (*serve_at, certificate->valid_at
                                  + guard_max_run_usec (&core->view, node));
  return TRUE;
}

/* Tell whether a pending move of SLICE prevents a takeover by certificate: the
   receiver may have been told that the slice is released.  If the move only
   changes the successors, a certificate with a floor below the move proves
   that they never change.  */
static gboolean
is_blocked_by_move (const struct core *core, const struct view_slice *slice)
{
  const struct certificate *certificate;

  if (slice->move_offset == 0)
    return FALSE;
  if (!handle_equal (slice->receiver, slice->owner))
    return TRUE;
  certificate
      = certificate_find (core, view_incarnation (&core->view, slice->owner));
  return certificate == NULL || certificate->floor >= slice->move_offset;
}

/* Tell whether SUCCESSOR may take SLICE over, from when on and under which
   fence.  SUCCESSOR may if the owner and each successor before it provably
   serve nothing, and no pending move prevents the takeover.  */
struct takeover
takeover_check (const struct core *core, const struct view_slice *slice,
                struct handle successor)
{
  struct takeover takeover = { FALSE, { 0, 0 }, 0 };
  guint i;

  if (view_node_at (&core->view, slice->owner) == NULL
      || is_blocked_by_move (core, slice)
      || !serves_nothing (core, slice->owner, &takeover.serve_at))
    return takeover;
  for (i = 0; i < SUCCESSOR_MAX; i++)
    {
      if (handle_equal (slice->successors[i], successor))
        {
          takeover.is_due = TRUE;
          takeover.fence.offset = MAX (slice->epoch, slice->move_offset);
          takeover.fence.takeover_count = i + 1;
          takeover.serve_at
              = MAX (takeover.serve_at, guard_last_expiry (&core->guard));
          return takeover;
        }
      if (!serves_nothing (core, slice->successors[i], &takeover.serve_at))
        return takeover;
    }
  return takeover;
}

/* Return how many slices this node is to serve by certificate.  */
guint
takeover_slice_count (const struct core *core)
{
  const struct view_service *service
      = view_find_service (&core->view, core->settings.service);
  guint count = 0;
  guint32 i;

  for (i = 0; service != NULL && i < service->slices->len; i++)
    if (takeover_check (core, view_slice_at (service, i), core->self).is_due)
      count++;
  return count;
}

/* Return the node that most likely serves SLICE: the successor that may take
   it over by certificate, otherwise the owner on the log.  */
struct handle
takeover_probable_owner (const struct core *core,
                         const struct view_service *service, guint32 slice)
{
  const struct view_slice *entry = view_slice_at (service, slice);
  guint i;

  if (entry == NULL)
    return HANDLE_NONE;
  for (i = 0; i < SUCCESSOR_MAX; i++)
    if (apply_node_is_alive (&core->view, entry->successors[i])
        && takeover_check (core, entry, entry->successors[i]).is_due)
      return entry->successors[i];
  return entry->owner;
}
