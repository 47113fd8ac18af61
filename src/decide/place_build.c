#include "decide/place.h"

#include <string.h>

#define PERCENT 100.0

/* The row of the zone NAME, added if it is new.  */
static guint32
find_zone (struct place *place, const char *name)
{
  struct place_zone zone = { .name = name };
  guint32 i;

  for (i = 0; i < place->zones->len; i++)
    if (strcmp (place_zone_at (place, i)->name, name) == 0)
      return i;
  zone.by_load = g_sequence_new (NULL);
  zone.by_standing = g_sequence_new (NULL);
  g_array_append_val (place->zones, zone);
  return i;
}

/* The slots of NODE, weighted as CONFIG says of its server.  */
static gdouble
capacity_of (const struct view *view, const struct view_node *node)
{
  const struct config_server *server
      = view->has_config
            ? config_find_server (&view->config, node->join.server)
            : NULL;
  gdouble slots = MAX (1, node->join.slots);

  return server != NULL ? slots * server->weight / PERCENT : slots;
}

/* Add the member under H.  */
static void
add_member (struct place *place, const struct view *view, struct handle h)
{
  const struct view_node *node = view_node_at (view, h);
  struct place_member member = { .node = h };
  guint32 row = place->members->len;

  member.incarnation = node->join.incarnation;
  member.host = node->join.host;
  member.server = node->join.server;
  member.capacity = capacity_of (view, node);
  member.live = node->state == NODE_LIVE && member.capacity > 0;
  member.leaving = node->state == NODE_LEAVING;
  member.capacity = MAX (member.capacity, 1.0 / PERCENT);
  member.zone = find_zone (place, node->join.zone);
  g_array_append_val (place->members, member);
  g_hash_table_insert (place->rows, GUINT_TO_POINTER (h.bits),
                       GUINT_TO_POINTER (row + 1));
  if (!member.live)
    return;
  place->capacity += member.capacity;
  place->live++;
}

/* Count what the slice NUMBER lays on its owner, or on the receiver of its
   move, and on its successors.  */
static void
count_slice (struct place *place, guint32 number)
{
  const struct view_slice *slice = view_slice_at (place->service, number);
  gboolean moves = slice->move != 0;
  guint32 row = place_row (place, moves ? slice->to : slice->owner);
  guint i;

  if (row == PLACE_NONE)
    return;
  place_at (place, row)->load += place_weight (place, number);
  place->load += place_weight (place, number);
  for (i = 0; i < SUCCESSOR_MAX; i++)
    {
      row = place_row (place,
                       moves ? slice->to_successor[i] : slice->successor[i]);
      if (row != PLACE_NONE)
        place_at (place, row)->standing++;
    }
}

/* Put the live members into the order of their zones.  */
static void
sort_members (struct place *place)
{
  guint32 i;

  for (i = 0; i < place->members->len; i++)
    {
      struct place_member *member = place_at (place, i);
      struct place_zone *zone = place_zone_at (place, member->zone);
      if (!member->live)
        continue;
      member->by_load
          = g_sequence_append (zone->by_load, GUINT_TO_POINTER (i));
      member->by_standing
          = g_sequence_append (zone->by_standing, GUINT_TO_POINTER (i));
    }
  for (i = 0; i < place->zones->len; i++)
    {
      g_sequence_sort (place_zone_at (place, i)->by_load, place_compare_load,
                       place);
      g_sequence_sort (place_zone_at (place, i)->by_standing,
                       place_compare_standing, place);
    }
}

/* Set up PLACE from the members and slices of SERVICE, which have WEIGHTS.
   PLACE must not be moved in memory and the view must not change.  */
void
place_init (struct place *place, const struct view *view,
            const struct view_service *service, const GArray *weights)
{
  guint i;

  memset (place, 0, sizeof *place);
  place->service = service;
  place->weights = weights;
  place->members = g_array_new (FALSE, TRUE, sizeof (struct place_member));
  place->zones = g_array_new (FALSE, TRUE, sizeof (struct place_zone));
  place->rows = g_hash_table_new (NULL, NULL);
  place->planned = g_byte_array_new ();
  g_byte_array_set_size (place->planned, service->slices->len);
  memset (place->planned->data, 0, service->slices->len);
  for (i = 0; i < service->members->len; i++)
    add_member (place, view,
                g_array_index (service->members, struct handle, i));
  for (i = 0; i < service->slices->len; i++)
    count_slice (place, i);
  sort_members (place);
}

/* Release what PLACE holds.  */
void
place_clear (struct place *place)
{
  guint i;

  for (i = 0; i < place->zones->len; i++)
    {
      g_sequence_free (place_zone_at (place, i)->by_load);
      g_sequence_free (place_zone_at (place, i)->by_standing);
    }
  g_array_free (place->zones, TRUE);
  g_array_free (place->members, TRUE);
  g_hash_table_destroy (place->rows);
  g_byte_array_unref (place->planned);
}
