#include "decide/serve_guard.h"

#include "decide/certificate.h"
#include "decide/core.h"

/* Set up without anything held.  */
void
guard_init (struct serve_guard *hold)
{
  hold->waits = g_array_new (FALSE, TRUE, sizeof (struct guard_delay));
  hold->given = g_hash_table_new_full (NULL, NULL, NULL, g_free);
}

/* Release what HOLD holds.  */
void
guard_clear (struct serve_guard *hold)
{
  g_array_free (hold->waits, TRUE);
  g_hash_table_destroy (hold->given);
  hold->waits = NULL;
  hold->given = NULL;
}

/* Waits */

/* How long a request may still run at the server of NODE once NODE owns
   nothing; none if that server checks fences.  */
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

/* Hold the slices that get EPOCH until UNTIL.  */
static void
add_wait (struct serve_guard *hold, guint64 epoch, gint64 until)
{
  struct guard_delay wait = { epoch, until };

  g_array_append_val (hold->waits, wait);
}

/* Hold what the record at EPOCH takes from INCARNATION, if its server does
   not check fences.  */
static void
wait_for_node (struct core *core, guint64 incarnation, guint64 epoch,
               gint64 now)
{
  const struct view_node *node
      = view_node_at (&core->view, view_find_node (&core->view, incarnation));
  const struct certificate *certificate = certificate_find (core, incarnation);
  gint64 since = certificate != NULL ? MIN (now, certificate->valid_at) : now;

  if (node == NULL || node->join.checks_fences)
    return;
  add_wait (&core->guard, epoch,
            since + guard_max_run_usec (&core->view, node));
}

/* Forget the waits that are over.  */
static void
forget_waits (struct serve_guard *hold, gint64 now)
{
  guint i = 0;

  while (i < hold->waits->len)
    if (g_array_index (hold->waits, struct guard_delay, i).until <= now)
      g_array_remove_index_fast (hold->waits, i);
    else
      i++;
}

/* Tell whether RECORD may give slices an owner, or an epoch, without the word
   of the owner before.  */
static gboolean
carries_waits (const struct record *record)
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

/* Look at a record that is about to be folded.  Slices that it gives away may
   still be waiting for a node that has gone lately; an owner that waits begins
   no move.  */
void
guard_before_record (struct core *core, const struct log_entry *entry,
                     gint64 now)
{
  const struct record *record = &entry->record;

  if (record->version > RECORD_VERSION
      || entry->offset < core->view.applied_offset)
    return;
  forget_waits (&core->guard, now);
  if (carries_waits (record) && guard_last_expiry (&core->guard) > now)
    add_wait (&core->guard, entry->offset, guard_last_expiry (&core->guard));
  if (record->kind == RECORD_REMOVED)
    wait_for_node (core, record->body.removed.incarnation, entry->offset, now);
  else if (record->kind == RECORD_JOIN)
    wait_for_node (core, record->body.join.replaced_incarnation, entry->offset,
                   now);
}

/* The view has come from a snapshot, and the records from BEFORE on were not
   seen.  A slice that this node got by one of them may have belonged to a node
   that has gone lately and whose server does not check fences.  */
void
guard_after_snapshot (struct core *core, guint64 before, gint64 now)
{
  const struct view_service *service
      = view_find_service (&core->view, core->settings.service);
  gint64 until;
  guint32 i;

  if (service == NULL)
    return;
  until = now + (gint64)service->config.timeout_msec * USEC_PER_MSEC;
  for (i = 0; i < service->slices->len; i++)
    {
      const struct view_slice *slice = view_slice_at (service, i);
      if (slice->epoch >= before && handle_equal (slice->owner, core->self)
          && !guard_is_delayed (&core->guard, slice->epoch, now))
        add_wait (&core->guard, slice->epoch, until);
    }
}

/* Tell whether a slice whose owner was named at EPOCH must still wait.  */
gboolean
guard_is_delayed (const struct serve_guard *hold, guint64 epoch, gint64 now)
{
  guint i;

  for (i = 0; i < hold->waits->len; i++)
    {
      const struct guard_delay *wait
          = &g_array_index (hold->waits, struct guard_delay, i);
      if (wait->epoch == epoch && wait->until > now)
        return TRUE;
    }
  return FALSE;
}

/* When the last wait ends; G_MININT64 if there is none.  */
gint64
guard_last_expiry (const struct serve_guard *hold)
{
  gint64 latest = G_MININT64;
  guint i;

  for (i = 0; i < hold->waits->len; i++)
    latest = MAX (latest,
                  g_array_index (hold->waits, struct guard_delay, i).until);
  return latest;
}

/* Slices given up */

/* This node begins to give up SLICE, which it has owned since EPOCH.  */
void
guard_begin_handoff (struct serve_guard *hold, guint32 slice, guint64 epoch)
{
  g_hash_table_replace (hold->given, GUINT_TO_POINTER (slice),
                        g_memdup2 (&epoch, sizeof epoch));
}

/* Tell whether this node has begun to give up SLICE since EPOCH.  */
gboolean
guard_has_begun_handoff (const struct serve_guard *hold, guint32 slice,
                         guint64 epoch)
{
  const guint64 *given
      = g_hash_table_lookup (hold->given, GUINT_TO_POINTER (slice));

  return given != NULL && *given == epoch;
}
