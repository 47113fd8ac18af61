#include "standins/fleet.h"

#include "decide/fold.h"

#include <stdio.h>
#include <string.h>

/* Fold RECORD as the next one of the log.  */
void
fleet_fold (struct fleet *fleet, const struct record *record)
{
  fold_record (&fleet->view, fleet->view.next, record, &fleet->out);
  actions_empty (&fleet->out);
}

/* Set up a fleet without nodes whose service has SLICES.  */
void
fleet_init (struct fleet *fleet, guint32 slices)
{
  struct record record = { .version = RECORD_VERSION, .kind = RECORD_CONFIG };

  view_init (&fleet->view);
  actions_init (&fleet->out);
  fleet->incarnation = 0;
  fleet->view.next = 1;
  record.body.config.text = g_strdup_printf ("[service " FLEET_SERVICE
                                             "]\ndivided = yes\nslices = %u\n"
                                             "timeout-ms = 3000\nqueue = 40\n",
                                             slices);
  fleet_fold (fleet, &record);
  g_free (record.body.config.text);
}

/* Release what FLEET holds.  */
void
fleet_clear (struct fleet *fleet)
{
  view_clear (&fleet->view);
  actions_clear (&fleet->out);
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

  join->incarnation = ++fleet->incarnation;
  snprintf (join->host, sizeof join->host, "host-%u",
            (guint)join->incarnation);
  snprintf (join->server, sizeof join->server, "server-%u",
            (guint)join->incarnation);
  snprintf (join->zone, sizeof join->zone, "zone-%u", zone);
  g_strlcpy (join->service, FLEET_SERVICE, sizeof join->service);
  join->peer.ip = (guint32)join->incarnation;
  join->peer.port = 1;
  join->slots = slots;
  fleet_fold (fleet, &record);
  return join->incarnation;
}

/* Mark a node that leaves.  */
void
fleet_leave (struct fleet *fleet, guint64 incarnation)
{
  struct record record = { .version = RECORD_VERSION, .kind = RECORD_LEAVING };

  record.body.leaving.incarnation = incarnation;
  fleet_fold (fleet, &record);
}

/* Take a node out.  */
void
fleet_out (struct fleet *fleet, guint64 incarnation)
{
  struct record record = { .version = RECORD_VERSION, .kind = RECORD_OUT };

  record.body.out.incarnation = incarnation;
  fleet_fold (fleet, &record);
}

/* Fold what BATCH proposes; its moves end at once.  */
void
fleet_apply (struct fleet *fleet, const struct plan_batch *batch)
{
  struct record record = { .version = RECORD_VERSION, .kind = batch->kind };
  struct record_slices *body = &record.body.slices;
  guint64 offset = fleet->view.next;
  guint i;

  g_strlcpy (body->service, FLEET_SERVICE, sizeof body->service);
  body->count = batch->items->len;
  body->items = (struct record_slice *)(gpointer)batch->items->data;
  fleet_fold (fleet, &record);
  if (batch->kind == RECORD_ASSIGN)
    return;
  for (i = 0; i < body->count; i++)
    body->items[i].epoch = offset;
  record.kind = RECORD_MOVED;
  fleet_fold (fleet, &record);
}

/* Plan and apply until nothing is left to plan, at most ROUNDS times.  Return
   how many slices changed their owner.  */
guint32
fleet_plan (struct fleet *fleet, struct planner *planner, gint64 now,
            guint32 rounds)
{
  guint32 moved = 0;

  while (rounds-- > 0)
    {
      const struct view_service *service = fleet_service (fleet);
      struct plan_batch batch;
      guint count;
      guint i;
      plan_batch_init (&batch);
      plan_make (planner, &fleet->view, service, now, &batch);
      plan_batch_rest (&batch, planner, now);
      count = batch.items->len;
      for (i = 0; i < count; i++)
        {
          const struct record_slice *item
              = &g_array_index (batch.items, struct record_slice, i);
          struct handle owner = view_slice_at (service, item->slice)->owner;
          if (view_incarnation (&fleet->view, owner) != item->owner)
            moved++;
        }
      fleet_apply (fleet, &batch);
      plan_batch_clear (&batch);
      if (count == 0)
        break;
    }
  return moved;
}

/* Count the slices that a node owns.  */
guint32
fleet_owned (const struct fleet *fleet, guint64 incarnation)
{
  const struct view_node *node = view_node_at (
      &fleet->view, view_find_node (&fleet->view, incarnation));

  return node != NULL ? node->owned : 0;
}
