#include "bench/policy.h"

#include "decide/slice.h"

/* Return the name of POLICY in the report.  */
const char *
policy_name (enum policy policy)
{
  switch (policy)
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

/* Return the live members of the service of FLEET, as struct view_node
   pointers; free the array with g_ptr_array_free.  */
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

/* Return the incarnation of the member of LIVE with the lowest rank for
   HASH.  */
static guint64
first_ranked (const GPtrArray *live, guint64 hash)
{
  guint64 first = 0;
  guint64 first_rank = G_MAXUINT64;
  guint i;

  for (i = 0; i < live->len; i++)
    {
      const struct view_node *node = g_ptr_array_index (live, i);
      guint64 rank = slice_rank (hash, node->join.incarnation);
      if (rank >= first_rank)
        continue;
      first = node->join.incarnation;
      first_rank = rank;
    }
  return first;
}

/* Return the incarnation of the node that owns the key NAME by POLICY.  */
static guint64
owner_of (const struct fleet *fleet, const GPtrArray *live, enum policy policy,
          const char *name)
{
  const struct view_service *service = fleet_service (fleet);
  guint64 hash = slice_hash_text (name);
  const struct view_node *node;

  switch (policy)
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

/* Set OWNERS to the incarnations of the owners of the keys of WORKLOAD, by
   POLICY.  */
void
policy_owners (const struct fleet *fleet, enum policy policy,
               const struct workload *workload, guint64 *owners)
{
  GPtrArray *live = live_members (fleet);
  char name[KEY_SIZE];
  guint32 i;

  for (i = 0; i < workload->key_count; i++)
    {
      workload_key_name (i, name, sizeof name);
      owners[i] = owner_of (fleet, live, policy, name);
    }
  g_ptr_array_free (live, TRUE);
}

/* Return the load imbalance of FLEET for the evaluation requests of WORKLOAD:
   the maximum load of a live member per slot, divided by the mean.  */
gdouble
policy_imbalance (const struct fleet *fleet, const struct workload *workload,
                  const guint64 *owners)
{
  GPtrArray *live = live_members (fleet);
  gdouble slots = 0;
  gdouble max_load_per_slot = 0;
  guint i;
  guint32 k;

  for (i = 0; i < live->len; i++)
    {
      const struct view_node *node = g_ptr_array_index (live, i);
      gdouble load = 0;
      for (k = 0; k < workload->key_count; k++)
        if (owners[k] == node->join.incarnation)
          load += (gdouble)workload->evaluation_counts[k];
      slots += node->join.slots;
      max_load_per_slot = MAX (max_load_per_slot, load / node->join.slots);
    }
  g_ptr_array_free (live, TRUE);
  return max_load_per_slot * slots / (gdouble)workload->request_count;
}

/* Return the number of keys of WORKLOAD whose owner differs between BEFORE and
   AFTER.  */
guint32
policy_keys_moved (const struct workload *workload, const guint64 *before,
                   const guint64 *after)
{
  guint32 moved = 0;
  guint32 i;

  for (i = 0; i < workload->key_count; i++)
    if (before[i] != after[i])
      moved++;
  return moved;
}
