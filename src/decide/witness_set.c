#include "decide/witness_set.h"

#include "decide/core.h"
#include "decide/slice.h"

#include <string.h>

#define WITNESS_COUNT 5u /* witnesses that each node should have */

/* Return how many nodes of SET are in ZONE.  */
static guint32
count_zone (const struct view *view, const guint64 *set, guint32 count,
            const char *zone)
{
  guint32 found = 0;
  guint32 i;

  for (i = 0; i < count; i++)
    {
      const struct view_node *node
          = view_node_at (view, view_find_node (view, set[i]));
      if (node != NULL && strcmp (node->join.zone, zone) == 0)
        found++;
    }
  return found;
}

/* Return the region of ZONE, empty if it is not configured.  */
static const char *
region_of (const struct view *view, const char *zone)
{
  const struct config_zone *found
      = view->has_config ? config_find_zone (&view->config, zone) : NULL;

  return found != NULL ? found->region : "";
}

/* Tell whether zones A and B may be in one region.  */
static gboolean
same_region (const struct view *view, const char *a, const char *b)
{
  const char *left = region_of (view, a);
  const char *right = region_of (view, b);

  return left[0] == '\0' || right[0] == '\0' || strcmp (left, right) == 0;
}

/* Where a witness may be, from strict to relaxed.  */
enum locality
{
  LOCALITY_NEW_ZONE, /* same region, in a zone without a witness */
  /* same region, in a zone with at most one witness */
  LOCALITY_SECOND_IN_ZONE,
  LOCALITY_REGION, /* same region */
  LOCALITY_ANY     /* anywhere */
};

/* Tell whether LOCALITY allows OTHER as a further witness of NODE beside
   SET.  */
static gboolean
is_eligible (const struct view *view, const struct view_node *node,
             const struct view_node *other, const guint64 *set, guint32 count,
             enum locality locality)
{
  if (locality == LOCALITY_ANY)
    return TRUE;
  if (!same_region (view, node->join.zone, other->join.zone))
    return FALSE;
  return locality == LOCALITY_REGION
         || count_zone (view, set, count, other->join.zone)
                <= (locality == LOCALITY_SECOND_IN_ZONE ? 1u : 0u);
}

/* Return the next witness of NODE: among the live nodes that LOCALITY allows,
   that are on another host, not in SET and do not refuse LEASE, the one that
   ranks first; 0 if there is none.  */
static guint64
next_witness (const struct view *view, const struct lease *lease,
              const struct view_node *node, const guint64 *set, guint32 count,
              enum locality locality)
{
  struct handle h = table_next (&view->nodes, HANDLE_NONE);
  guint64 best = 0;
  guint64 best_rank = G_MAXUINT64;
  guint32 i;

  for (; handle_is_set (h); h = table_next (&view->nodes, h))
    {
      const struct view_node *other = view_node_at (view, h);
      guint64 rank
          = slice_rank (node->join.incarnation, other->join.incarnation);
      gboolean in_set = FALSE;
      for (i = 0; i < count; i++)
        in_set = in_set || set[i] == other->join.incarnation;
      if (in_set || other->state != NODE_LIVE || rank >= best_rank
          || strcmp (other->join.host, node->join.host) == 0
          || lease_witness_refuses (lease, other->join.incarnation)
          || !is_eligible (view, node, other, set, count, locality))
        continue;
      best = other->join.incarnation;
      best_rank = rank;
    }
  return best;
}

/* Choose the witnesses of NODE, the holder of LEASE, and put them into SET: on
   other hosts of its region, first one in each zone, then a second, then any.
   With three zones the loss of one zone thus never takes a majority.  If the
   region has no other host, the only witness is a node elsewhere.  Return the
   number of witnesses, which is odd or 0.  */
guint32
witness_set_choose (const struct view *view, const struct lease *lease,
                    struct handle node, guint64 *set)
{
  const struct view_node *self = view_node_at (view, node);
  guint32 count = 0;

  while (count < WITNESS_COUNT)
    {
      guint64 next
          = next_witness (view, lease, self, set, count, LOCALITY_NEW_ZONE);
      if (next == 0)
        next = next_witness (view, lease, self, set, count,
                             LOCALITY_SECOND_IN_ZONE);
      if (next == 0)
        next = next_witness (view, lease, self, set, count, LOCALITY_REGION);
      if (next == 0 && count == 0)
        next = next_witness (view, lease, self, set, count, LOCALITY_ANY);
      if (next == 0)
        break;
      set[count++] = next;
    }
  return count % 2 == 0 && count > 0 ? count - 1 : count;
}

/* Tell whether the witness set of NODE should be changed: it is too small, or
   one of its nodes is not live or refuses LEASE.  */
static gboolean
needs_change (const struct view *view, const struct lease *lease,
              const struct view_node *node)
{
  guint32 i;

  if (node->witness_count < WITNESS_COUNT)
    return TRUE;
  for (i = 0; i < node->witness_count; i++)
    {
      const struct view_node *witness
          = view_node_at (view, view_find_node (view, node->witnesses[i]));
      if (witness == NULL || witness->state != NODE_LIVE
          || lease_witness_refuses (lease, node->witnesses[i]))
        return TRUE;
    }
  return FALSE;
}

/* Propose a better witness set for this node if there is one and the last
   change is complete.  A set that is already too small is replaced by one of
   the same size only if it differs.  */
void
witness_set_step (struct core *core)
{
  const struct view_node *node = view_node_at (&core->view, core->self);
  guint64 set[WITNESS_MAX] = { 0 };
  guint32 count;
  struct record_witness_set *body;

  if (outbox_has (&core->outbox, RECORD_WITNESS_SET) || core->lease.is_joint
      || core->lease.witness_epoch != node->witness_epoch
      || !needs_change (&core->view, &core->lease, node))
    return;
  count = witness_set_choose (&core->view, &core->lease, core->self, set);
  if (count == 0 || count < MIN (node->witness_count, WITNESS_COUNT)
      || (count == node->witness_count
          && memcmp (set, node->witnesses, count * sizeof set[0]) == 0))
    return;
  body = &outbox_propose (&core->outbox, RECORD_WITNESS_SET)->body.witness_set;
  body->incarnation = node->join.incarnation;
  body->replaced_epoch = node->witness_epoch;
  body->witness_count = count;
  memcpy (body->witnesses, set, count * sizeof set[0]);
}
