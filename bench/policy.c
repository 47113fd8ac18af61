#include "bench/policy.h"

#include "decide/slice.h"

/* The name of WAY for the report.  */
const char *
policy_name (enum policy way)
{
  switch (way)
    {
    case POLICY_HASH:
      return "hash mod n";
    case POLICY_RENDEZVOUS:
      return "rendezvous";
    case POLICY_PLANNED:
      return "placed";
    case POLICY_COUNT:
      break;
    }
  return "unnamed";
}

/* The live members of the fleet's service, as struct view_node pointers.  */
static GPtrArray *
live_members (const struct fleet *fleet)
{
  const struct view_service *service = fleet_service (fleet);
  GPtrArray *live = g_ptr_array_new ();
  guint i;

  for (i = 0; i < service->members->len; i++)
    {
      struct view_node *node = view_node_at (
          &fleet->view, g_array_index (service->members, struct handle, i));
      if (node->state == NODE_LIVE)
        g_ptr_array_add (live, node);
    }
  return live;
}

/* The member that ranks first for HASH.  */
static guint64
first_ranked (const GPtrArray *live, guint64 hash)
{
  guint64 best = 0;
  guint64 best_rank = G_MAXUINT64;
  guint i;

  for (i = 0; i < live->len; i++)
    {
      const struct view_node *node = g_ptr_array_index (live, i);
      guint64 rank = slice_rank (hash, node->join.incarnation);
      if (rank >= best_rank)
        continue;
      best = node->join.incarnation;
      best_rank = rank;
    }
  return best;
}

/* The owner of the key NAME by WAY.  */
static guint64
owner_of (const struct fleet *fleet, const GPtrArray *live, enum policy way,
          const char *name)
{
  const struct view_service *service = fleet_service (fleet);
  guint64 hash = slice_hash_text (name);
  const struct view_node *node;

  switch (way)
    {
    case POLICY_HASH:
      node = g_ptr_array_index (live, hash % live->len);
      return node->join.incarnation;
    case POLICY_RENDEZVOUS:
      return first_ranked (live, hash);
    case POLICY_PLANNED:
    case POLICY_COUNT:
      break;
    }
  return view_incarnation (
      &fleet->view,
      view_slice_at (service, slice_of_key (service, name))->owner);
}

/* Fill OWNERS with the owner of each key of RUSH by WAY.  */
void
policy_owners (const struct fleet *fleet, enum policy way,
               const struct workload *rush, guint64 *owners)
{
  GPtrArray *live = live_members (fleet);
  char name[KEY_SIZE];
  guint32 i;

  for (i = 0; i < rush->key_count; i++)
    {
      workload_key_name (i, name, sizeof name);
      owners[i] = owner_of (fleet, live, way, name);
    }
  g_ptr_array_free (live, TRUE);
}

/* The highest load of a live member over the mean, for its slots.  */
gdouble
policy_imbalance (const struct fleet *fleet, const struct workload *rush,
                  const guint64 *owners)
{
  GPtrArray *live = live_members (fleet);
  gdouble slots = 0;
  gdouble highest = 0;
  guint i;
  guint32 k;

  for (i = 0; i < live->len; i++)
    {
      const struct view_node *node = g_ptr_array_index (live, i);
      gdouble load = 0;
      for (k = 0; k < rush->key_count; k++)
        if (owners[k] == node->join.incarnation)
          load += (gdouble)rush->evaluation_counts[k];
      slots += node->join.slots;
      highest = MAX (highest, load / node->join.slots);
    }
  g_ptr_array_free (live, TRUE);
  return highest * slots / (gdouble)rush->request_count;
}

/* Count the keys whose owner changed.  */
guint32
policy_keys_moved (const struct workload *rush, const guint64 *before,
                   const guint64 *after)
{
  guint32 moved = 0;
  guint32 i;

  for (i = 0; i < rush->key_count; i++)
    if (before[i] != after[i])
      moved++;
  return moved;
}
