#include "fleet/ring.h"

/* Compare names by their order on the ring; for g_ptr_array_sort.  */
static gint
compare_names (gconstpointer a, gconstpointer b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

/* Return the names of all members and SELF in ring order.  The strings belong
   to FLEET.  */
static GPtrArray *
names_in_order (const struct fleet_state *fleet, const char *self)
{
  GPtrArray *names = g_ptr_array_new ();
  struct handle h = table_next (&fleet->members, HANDLE_NONE);
  gboolean found = FALSE;

  for (; handle_is_set (h); h = table_next (&fleet->members, h))
    {
      const struct fleet_member *member = fleet_state_member_at (fleet, h);
      g_ptr_array_add (names, (gpointer)member->name);
      found = found || strcmp (member->name, self) == 0;
    }
  if (!found)
    g_ptr_array_add (names, (gpointer)self);
  g_ptr_array_sort (names, compare_names);
  return names;
}

/* Return the index of SELF in NAMES.  */
static guint
index_of (const GPtrArray *names, const char *self)
{
  guint i = 0;

  while (strcmp (g_ptr_array_index (names, i), self) != 0)
    i++;
  return i;
}

/* Add the member called NAME, unless RING already contains it.  */
static void
add_neighbour (struct ring *ring, const struct fleet_state *fleet,
               const char *name, gboolean is_called)
{
  struct handle member = fleet_state_find (fleet, name);
  guint32 i;

  for (i = 0; i < ring->neighbour_count; i++)
    if (handle_equal (ring->neighbours[i].member, member))
      return;
  if (!handle_is_set (member) || ring->neighbour_count >= RING_NEIGHBOURS_MAX)
    return;
  ring->neighbours[ring->neighbour_count].member = member;
  ring->neighbours[ring->neighbour_count].is_called = is_called;
  ring->neighbour_count++;
}

/* Recompute the neighbours of SELF if the members of FLEET have changed.
   Return whether that was done.  */
gboolean
ring_update (struct ring *ring, const struct fleet_state *fleet,
             const char *self)
{
  GPtrArray *names;
  guint index;
  guint distance = 1;

  if (ring->fleet_changes == fleet->member_change_count)
    return FALSE;
  ring->fleet_changes = fleet->member_change_count;
  ring->neighbour_count = 0;
  names = names_in_order (fleet, self);
  index = index_of (names, self);
  while (distance <= names->len / 2)
    {
      guint after = (index + distance) % names->len;
      guint before = (index + names->len - distance) % names->len;
      add_neighbour (ring, fleet, g_ptr_array_index (names, after), TRUE);
      add_neighbour (ring, fleet, g_ptr_array_index (names, before), FALSE);
      distance = distance < RING_ADJACENT ? distance + 1 : 2 * distance;
    }
  g_ptr_array_free (names, TRUE);
  return TRUE;
}
