#include "fleet/ring.h"

/* Names in the order of the ring; for g_ptr_array_sort.  */
static gint
compare_names (gconstpointer a, gconstpointer b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

/* The names of all members and SELF, in order; they belong to ROSTER.  */
static GPtrArray *
names_in_order (const struct fleet_state *fleet_state, const char *self)
{
  GPtrArray *names = g_ptr_array_new ();
  struct handle h = table_next (&fleet_state->members, HANDLE_NONE);
  gboolean found = FALSE;

  for (; handle_is_set (h); h = table_next (&fleet_state->members, h))
    {
      const struct fleet_member *member
          = fleet_state_member_at (fleet_state, h);
      g_ptr_array_add (names, (gpointer)member->name);
      found = found || strcmp (member->name, self) == 0;
    }
  if (!found)
    g_ptr_array_add (names, (gpointer)self);
  g_ptr_array_sort (names, compare_names);
  return names;
}

/* The place of SELF in NAMES.  */
static guint
place_of (const GPtrArray *names, const char *self)
{
  guint i = 0;

  while (strcmp (g_ptr_array_index (names, i), self) != 0)
    i++;
  return i;
}

/* Add the member called NAME, unless RING has it already.  */
static void
add (struct ring *ring, const struct fleet_state *fleet_state,
     const char *name, gboolean calls)
{
  struct handle member = fleet_state_find (fleet_state, name);
  guint32 i;

  for (i = 0; i < ring->neighbour_count; i++)
    if (handle_equal (ring->neighbours[i].member, member))
      return;
  if (!handle_is_set (member) || ring->neighbour_count >= RING_NEIGHBOURS_MAX)
    return;
  ring->neighbours[ring->neighbour_count].member = member;
  ring->neighbours[ring->neighbour_count].is_called = calls;
  ring->neighbour_count++;
}

/* Work out the neighbours of SELF anew if ROSTER has changed.  Return whether
   that was done.  */
gboolean
ring_update (struct ring *ring, const struct fleet_state *fleet_state,
             const char *self)
{
  GPtrArray *names;
  guint place;
  guint distance = 1;

  if (ring->fleet_changes == fleet_state->change_count)
    return FALSE;
  ring->fleet_changes = fleet_state->change_count;
  ring->neighbour_count = 0;
  names = names_in_order (fleet_state, self);
  place = place_of (names, self);
  while (distance <= names->len / 2)
    {
      guint after = (place + distance) % names->len;
      guint before = (place + names->len - distance) % names->len;
      add (ring, fleet_state, g_ptr_array_index (names, after), TRUE);
      add (ring, fleet_state, g_ptr_array_index (names, before), FALSE);
      distance = distance < RING_ADJACENT ? distance + 1 : 2 * distance;
    }
  g_ptr_array_free (names, TRUE);
  return TRUE;
}
