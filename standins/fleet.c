#include "standins/fleet.h"

#include "decide/apply.h"

#include <stdio.h>
#include <string.h>

/* Fold RECORD as the next one of the log.  */
void
fleet_apply (struct fleet *fleet, const struct record *record)
{
  apply_record (&fleet->view, fleet->view.applied_offset, record,
                &fleet->dropped_actions);
  actions_remove_all (&fleet->dropped_actions);
}

/* Set up a fleet without nodes whose service has SLICES.  */
void
fleet_init (struct fleet *fleet, guint32 slices)
{
  struct record record = { .version = RECORD_VERSION, .kind = RECORD_CONFIG };

  view_init (&fleet->view);
  actions_init (&fleet->dropped_actions);
  fleet->last_incarnation = 0;
  fleet->view.applied_offset = 1;
  record.body.config.text = g_strdup_printf ("[service " FLEET_SERVICE
                                             "]\ndivided = yes\nslices = %u\n"
                                             "timeout-ms = 3000\nqueue = 40\n",
                                             slices);
  fleet_apply (fleet, &record);
  g_free (record.body.config.text);
}

/* Release what FLEET holds.  */
void
fleet_clear (struct fleet *fleet)
{
  view_clear (&fleet->view);
  actions_clear (&fleet->dropped_actions);
}

/* The one service.  */
const struct view_service *
fleet_service (const struct fleet *fleet)
{
  return view_find_service (&fleet->view, FLEET_SERVICE);
}

/* Let a node join in ZONE with a server of SLOTS; return its incarnation.  */
guint64
fleet_join (struct fleet *fleet, guint32 zone, guint32 slots)
{
  struct record record = { .version = RECORD_VERSION, .kind = RECORD_JOIN };
  struct record_join *join = &record.body.join;

  join->incarnation = ++fleet->last_incarnation;
  snprintf (join->host, sizeof join->host, "host-%u",
            (guint)join->incarnation);
  snprintf (join->server, sizeof join->server, "server-%u",
            (guint)join->incarnation);
  snprintf (join->zone, sizeof join->zone, "zone-%u", zone);
  g_strlcpy (join->service, FLEET_SERVICE, sizeof join->service);
  join->peer_address.ip = (guint32)join->incarnation;
  join->peer_address.port = 1;
  join->slots = slots;
  fleet_apply (fleet, &record);
  return join->incarnation;
}

/* Mark a node that leaves.  */
void
fleet_leave (struct fleet *fleet, guint64 incarnation)
{
  struct record record = { .version = RECORD_VERSION, .kind = RECORD_LEAVING };

  record.body.leaving.incarnation = incarnation;
  fleet_apply (fleet, &record);
}

/* Take a node out.  */
void
fleet_remove (struct fleet *fleet, guint64 incarnation)
{
  struct record record = { .version = RECORD_VERSION, .kind = RECORD_REMOVED };

  record.body.removed.incarnation = incarnation;
  fleet_apply (fleet, &record);
}

/* Fold ITEMS as a record of KIND.  */
static void
fold_items (struct fleet *fleet, enum record_kind kind, const GArray *items)
{
  struct record record = { .version = RECORD_VERSION, .kind = kind };
  struct record_slices *body = &record.body.slices;

  g_strlcpy (body->service, FLEET_SERVICE, sizeof body->service);
  body->count = items->len;
  body->items = (struct record_slice *)(gpointer)items->data;
  if (items->len > 0)
    fleet_apply (fleet, &record);
}

/* Fold what BATCH proposes; its moves end at once.  Return how many slices
   changed their owner.  */
static guint32
apply (struct fleet *fleet, const struct plan_batch *batch)
{
  const struct view_service *service = fleet_service (fleet);
  guint32 moved = batch->assigns->len;
  guint64 offset;
  guint i;

  fold_items (fleet, RECORD_ASSIGN, batch->assigns);
  for (i = 0; i < batch->moves->len; i++)
    {
      const struct record_slice *item
          = &g_array_index (batch->moves, struct record_slice, i);
      struct handle owner = view_slice_at (service, item->slice)->owner;
      if (view_incarnation (&fleet->view, owner) != item->owner)
        moved++;
    }
  offset = fleet->view.applied_offset;
  fold_items (fleet, RECORD_MOVE, batch->moves);
  for (i = 0; i < batch->moves->len; i++)
    g_array_index (batch->moves, struct record_slice, i).epoch = offset;
  fold_items (fleet, RECORD_MOVED, batch->moves);
  return moved;
}

/* Plan and apply until nothing is left to plan, at most ROUNDS records.
   Return how many slices changed their owner.  */
guint32
fleet_plan (struct fleet *fleet, struct planner *planner, gint64 now,
            guint32 rounds)
{
  guint64 next = fleet->view.applied_offset;
  guint32 moved = 0;

  planner_begin_pass (planner, now);
  while (rounds-- > 0)
    {
      struct plan_batch batch;
      gboolean more;
      plan_batch_init (&batch);
      more = plan_advance (planner, &fleet->view, fleet_service (fleet), now,
                           G_MAXUINT32, &batch);
      moved += apply (fleet, &batch);
      plan_batch_clear (&batch);
      if (more)
        continue;
      if (fleet->view.applied_offset == next)
        break;
      next = fleet->view.applied_offset;
      planner_begin_pass (planner, now);
    }
  planner_end_pass (planner);
  return moved;
}

/* Count the slices that a node owns.  */
guint32
fleet_owned_count (const struct fleet *fleet, guint64 incarnation)
{
  const struct view_node *node = view_node_at (
      &fleet->view, view_find_node (&fleet->view, incarnation));

  return node != NULL ? node->owned_slice_count : 0;
}
