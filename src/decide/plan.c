#include "decide/plan.h"

#include "decide/core.h"
#include "decide/slice.h"
#include "decide/timing.h"

#include <string.h>

#define PLAN_SLICES_MAX 512u /* slices in one record */

/* Tell whether this node ranks first among the live members of SERVICE.  */
static gboolean
ranks_first (const struct core *core, const struct view_service *service)
{
  guint64 name = slice_hash_text (service->config.name);
  guint64 own = slice_rank (name, core->settings.incarnation);
  guint i;

  for (i = 0; i < service->members->len; i++)
    {
      const struct view_node *node = view_node_at (
          &core->view, g_array_index (service->members, struct handle, i));
      if (node->state == NODE_LIVE
          && slice_rank (name, node->join.incarnation) < own)
        return FALSE;
    }
  return TRUE;
}

/* Find the live member of SERVICE with the least load per slot, counting
   LOAD slices given out already, whose zone differs from AVOID if any does.
   Return its place among the members, or -1.  */
static gint
least_loaded (const struct core *core, const struct view_service *service,
              const guint32 *load, const char *avoid, const gint *taken,
              guint taken_count)
{
  gint best = -1;
  gdouble best_cost = G_MAXDOUBLE;
  guint i;
  guint k;

  for (i = 0; i < service->members->len; i++)
    {
      const struct view_node *node = view_node_at (
          &core->view, g_array_index (service->members, struct handle, i));
      gdouble cost = (gdouble)load[i] / MAX (1, node->join.slots);
      gboolean is_taken = FALSE;
      for (k = 0; k < taken_count; k++)
        is_taken = is_taken || taken[k] == (gint)i;
      if (is_taken || node->state != NODE_LIVE)
        continue;
      if (avoid != NULL && strcmp (avoid, node->join.zone) == 0)
        cost += 1e6;
      if (cost >= best_cost)
        continue;
      best = (gint)i;
      best_cost = cost;
    }
  return best;
}

/* Choose an owner and successors for slice NUMBER.  Return FALSE if there is
   no live member.  */
static gboolean
place_slice (const struct core *core, const struct view_service *service,
             guint32 number, guint32 *load, struct record_slice *item)
{
  gint taken[1 + SUCCESSOR_MAX];
  const char *zone = NULL;
  guint count = 0;

  item->slice = number;
  item->epoch = view_slice_at (service, number)->epoch;
  while (count < G_N_ELEMENTS (taken))
    {
      gint at = least_loaded (core, service, load, zone, taken, count);
      const struct view_node *node;
      if (at < 0)
        break;
      node = view_node_at (
          &core->view, g_array_index (service->members, struct handle, at));
      if (count == 0)
        {
          item->owner = node->join.incarnation;
          load[at]++;
        }
      else
        item->successor[count - 1] = node->join.incarnation;
      zone = node->join.zone;
      taken[count++] = at;
    }
  return count > 0;
}

/* Propose owners for the slices of SERVICE that have none.  */
static void
assign_unowned (struct core *core, const struct view_service *service,
                struct actions *out)
{
  guint32 *load = g_new0 (guint32, service->members->len + 1);
  GArray *items = g_array_new (FALSE, TRUE, sizeof (struct record_slice));
  struct record_slices *body;
  guint i;

  for (i = 0; i < service->members->len; i++)
    load[i] = view_node_at (&core->view,
                            g_array_index (service->members, struct handle, i))
                  ->owned;
  for (i = 0; i < service->config.slices && items->len < PLAN_SLICES_MAX; i++)
    {
      struct record_slice item = { 0 };
      const struct view_slice *slice = view_slice_at (service, i);
      if (view_node_at (&core->view, slice->owner) == NULL
          && place_slice (core, service, i, load, &item))
        g_array_append_val (items, item);
    }
  g_free (load);
  if (items->len > 0)
    {
      struct note *note = &actions_add (out, ACTION_NOTE)->u.note;
      note->id = NOTE_PLACE_ASSIGN;
      note->amount = items->len;
      g_strlcpy (note->service, service->config.name, sizeof note->service);
      body = &outbox_propose (&core->outbox, RECORD_ASSIGN)->body.slices;
      g_strlcpy (body->service, service->config.name, sizeof body->service);
      body->count = items->len;
      body->items
          = g_memdup2 (items->data, items->len * sizeof (struct record_slice));
    }
  g_array_free (items, TRUE);
}

/* Plan, if this node is the one to do it and the members have settled.  */
void
plan_step (struct core *core, gint64 now, struct actions *out)
{
  const struct view_service *service
      = view_find_service (&core->view, core->settings.service);

  if (!core->at_tail || !handle_is_set (core->self) || service == NULL
      || !service->configured || !service->config.divided
      || now < core->settled_at || outbox_has (&core->outbox, RECORD_ASSIGN)
      || !ranks_first (core, service))
    return;
  assign_unowned (core, service, out);
}
