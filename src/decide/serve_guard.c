#include "decide/serve_guard.h"

#include "decide/certificate.h"
#include "decide/core.h"

/* Set up a guard without any delay or handoff.  */
void
guard_init (struct serve_guard *guard)
{
  guard->delays = g_array_new (FALSE, TRUE, sizeof (struct guard_delay));
  guard->handoffs = g_hash_table_new_full (NULL, NULL, NULL, g_free);
}

/* Release the memory of GUARD.  */
void
guard_clear (struct serve_guard *guard)
{
  g_array_free (guard->delays, TRUE);
  g_hash_table_destroy (guard->handoffs);
  guard->delays = NULL;
  guard->handoffs = NULL;
}

/* Delays */

/* Return how long, in microseconds, a request may still run at the server of
   NODE after NODE has lost its slices: 0 if that server checks fences.  */
gint64
guard_max_run_usec (const struct view *view, const struct view_node *node)
{
  const struct view_service *service;

  if (node->join.checks_fences)
    return 0;
  service = view_find_service (view, node->join.service);
  return service != NULL ? (gint64)service->config.timeout_msec * USEC_PER_MSEC
                         : 0;
}

/* Delay the slices that get EPOCH until EXPIRES_AT.  */
static void
add_delay (struct serve_guard *guard, guint64 epoch, gint64 expires_at)
{
  struct guard_delay delay = { epoch, expires_at };

  g_array_append_val (guard->delays, delay);
}

/* Delay the slices that the record at EPOCH takes from INCARNATION, if the
   server of that node does not check fences.  */
static void
delay_for_node (struct core *core, guint64 incarnation, guint64 epoch,
                gint64 now)
{
  const struct view_node *node
      = view_node_at (&core->view, view_find_node (&core->view, incarnation));
  const struct certificate *certificate = certificate_find (core, incarnation);
  gint64 since = certificate != NULL ? MIN (now, certificate->valid_at) : now;

  if (node == NULL || node->join.checks_fences)
    return;
  add_delay (&core->guard, epoch,
             since + guard_max_run_usec (&core->view, node));
}

/* Drop the delays that have ended by NOW.  */
static void
drop_expired_delays (struct serve_guard *guard, gint64 now)
{
  guint i = 0;

  while (i < guard->delays->len)
    if (g_array_index (guard->delays, struct guard_delay, i).expires_at <= now)
      g_array_remove_index_fast (guard->delays, i);
    else
      i++;
}

/* Tell whether RECORD may give slices an owner, or an epoch, without the
   consent of the previous owner.  */
static gboolean
inherits_delays (const struct record *record)
{
  const struct record_slices *slices = &record->body.slices;

  switch (record->kind)
    {
    case RECORD_REMOVED:
    case RECORD_JOIN:
    case RECORD_ASSIGN:
    case RECORD_HOT_KEY:
      return TRUE;
    case RECORD_MOVED:
      return slices->count > 0 && slices->items[0].owner == 0;
    default:
      return FALSE;
    }
}

/* Update the delays for the record ENTRY, which is about to be applied.
   Slices that the record gives away may still be delayed because of a node
   that was removed recently, so they get the latest delay.  An owner that is
   delayed begins no move, so records of completed moves need none.  */
void
guard_before_record (struct core *core, const struct log_entry *entry,
                     gint64 now)
{
  const struct record *record = &entry->record;

  if (record->version > RECORD_VERSION
      || entry->offset < core->view.applied_offset)
    return;
  drop_expired_delays (&core->guard, now);
  if (inherits_delays (record) && guard_last_expiry (&core->guard) > now)
    add_delay (&core->guard, entry->offset, guard_last_expiry (&core->guard));
  if (record->kind == RECORD_REMOVED)
    delay_for_node (core, record->body.removed.incarnation, entry->offset,
                    now);
  else if (record->kind == RECORD_JOIN)
    delay_for_node (core, record->body.join.replaced_incarnation,
                    entry->offset, now);
}

/* Update the delays after the view was replaced by a snapshot, so that the
   records from BEFORE on were not seen.  A slice that this node got by one of
   them may have belonged to a node that was removed recently and whose server
   does not check fences.  */
void
guard_after_snapshot (struct core *core, guint64 before, gint64 now)
{
  const struct view_service *service
      = view_find_service (&core->view, core->settings.service);
  gint64 expires_at;
  guint32 i;

  if (service == NULL)
    return;
  expires_at = now + (gint64)service->config.timeout_msec * USEC_PER_MSEC;
  for (i = 0; i < service->slices->len; i++)
    {
      const struct view_slice *slice = view_slice_at (service, i);
      if (slice->epoch >= before && handle_equal (slice->owner, core->self)
          && !guard_is_delayed (&core->guard, slice->epoch, now))
        add_delay (&core->guard, slice->epoch, expires_at);
    }
}

/* Tell whether the slices that got EPOCH are still delayed at NOW.  */
gboolean
guard_is_delayed (const struct serve_guard *guard, guint64 epoch, gint64 now)
{
  guint i;

  for (i = 0; i < guard->delays->len; i++)
    {
      const struct guard_delay *delay
          = &g_array_index (guard->delays, struct guard_delay, i);
      if (delay->epoch == epoch && delay->expires_at > now)
        return TRUE;
    }
  return FALSE;
}

/* Return when the last delay ends; G_MININT64 if there is none.  */
gint64
guard_last_expiry (const struct serve_guard *guard)
{
  gint64 latest = G_MININT64;
  guint i;

  for (i = 0; i < guard->delays->len; i++)
    latest = MAX (
        latest,
        g_array_index (guard->delays, struct guard_delay, i).expires_at);
  return latest;
}

/* Handoffs */

/* Record that this node begins the handoff of SLICE, which it has owned since
   EPOCH.  */
void
guard_begin_handoff (struct serve_guard *guard, guint32 slice, guint64 epoch)
{
  g_hash_table_replace (guard->handoffs, GUINT_TO_POINTER (slice),
                        g_memdup2 (&epoch, sizeof epoch));
}

/* Tell whether this node has begun the handoff of SLICE, which it has owned
   since EPOCH.  */
gboolean
guard_has_begun_handoff (const struct serve_guard *guard, guint32 slice,
                         guint64 epoch)
{
  const guint64 *begun_epoch
      = g_hash_table_lookup (guard->handoffs, GUINT_TO_POINTER (slice));

  return begun_epoch != NULL && *begun_epoch == epoch;
}
