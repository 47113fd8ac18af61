#include "decide/witness_set.h"

#include "decide/core.h"
#include "decide/slice.h"

#include <string.h>

#define WITNESS_WANTED 5u /* witnesses of a node */

/* Count the nodes of ZONE in SET.  */
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

/* The region of ZONE, empty if it is not configured.  */
static const char *
region_of (const struct view *view, const char *zone)
{
  const struct config_zone *place
      = view->has_config ? config_find_zone (&view->config, zone) : NULL;

  return place != NULL ? place->region : "";
}

/* Tell whether zones A and B may be in one region.  */
static gboolean
same_region (const struct view *view, const char *a, const char *b)
{
  const char *left = region_of (view, a);
  const char *right = region_of (view, b);

  return left[0] == '\0' || right[0] == '\0' || strcmp (left, right) == 0;
}

/* How near to NODE a witness must be.  */
enum nearness
{
  NEAR_NEW_ZONE,  /* same region, in a zone that the set has not */
  NEAR_ONCE_ZONE, /* same region, in a zone that the set has once */
  NEAR_REGION,    /* same region */
  NEAR_ANY        /* anywhere */
};

/* Tell whether OTHER is near enough as a witness of NODE beside SET.  */
static gboolean
is_near (const struct view *view, const struct view_node *node,
         const struct view_node *other, const guint64 *set, guint32 count,
         enum nearness near)
{
  if (near == NEAR_ANY)
    return TRUE;
  if (!same_region (view, node->join.zone, other->join.zone))
    return FALSE;
  return near == NEAR_REGION
         || count_zone (view, set, count, other->join.zone)
                <= (near == NEAR_ONCE_ZONE ? 1u : 0u);
}

/* Find the live node that ranks first as the next witness of NODE: NEAR
   enough, not on its host, not in SET, and not one that refuses LEASE.  */
static guint64
next_witness (const struct view *view, const struct lease *lease,
              const struct view_node *node, const guint64 *set, guint32 count,
              enum nearness near)
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
          || !is_near (view, node, other, set, count, near))
        continue;
      best = other->join.incarnation;
      best_rank = rank;
    }
  return best;
}

/* Choose the witnesses of NODE, the holder of LEASE, into SET: on other hosts
   of its region, one a zone while zones last and then two, so that with three
   zones no lost zone takes a majority.  Return how many there are, an odd
   number.  */
guint32
witness_set_choose (const struct view *view, const struct lease *lease,
                    struct handle node, guint64 *set)
{
  const struct view_node *self = view_node_at (view, node);
  guint32 count = 0;

  while (count < WITNESS_WANTED)
    {
      guint64 next
          = next_witness (view, lease, self, set, count, NEAR_NEW_ZONE);
      if (next == 0)
        next = next_witness (view, lease, self, set, count, NEAR_ONCE_ZONE);
      if (next == 0)
        next = next_witness (view, lease, self, set, count, NEAR_REGION);
      if (next == 0 && count == 0)
        next = next_witness (view, lease, self, set, count, NEAR_ANY);
      if (next == 0)
        break;
      set[count++] = next;
    }
  return count % 2 == 0 && count > 0 ? count - 1 : count;
}

/* Tell whether the witness set of NODE is not what it should be: it is short,
   or one of it is not live or refuses LEASE.  */
static gboolean
set_is_poor (const struct view *view, const struct lease *lease,
             const struct view_node *node)
{
  guint32 i;

  if (node->witness_count < WITNESS_WANTED)
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
   change is complete.  A set that is already smaller than wanted is replaced
   by one as large only if one of it is not live.  */
void
witness_set_step (struct core *core)
{
  const struct view_node *node = view_node_at (&core->view, core->self);
  guint64 set[WITNESS_MAX] = { 0 };
  guint32 count;
  struct record_witness_set *body;

  if (outbox_has (&core->outbox, RECORD_WITNESS_SET) || core->lease.is_joint
      || core->lease.witness_epoch != node->witness_epoch
      || !set_is_poor (&core->view, &core->lease, node))
    return;
  count = witness_set_choose (&core->view, &core->lease, core->self, set);
  if (count == 0 || count < MIN (node->witness_count, WITNESS_WANTED)
      || (count == node->witness_count
          && memcmp (set, node->witnesses, count * sizeof set[0]) == 0))
    return;
  body = &outbox_propose (&core->outbox, RECORD_WITNESS_SET)->body.witness_set;
  body->incarnation = node->join.incarnation;
  body->replaced_epoch = node->witness_epoch;
  body->witness_count = count;
  memcpy (body->witnesses, set, count * sizeof set[0]);
}
