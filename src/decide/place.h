#ifndef BAMBOOTALLY_PLACE_H
#define BAMBOOTALLY_PLACE_H

#include "decide/place_member.h"
#include "decide/place_zone.h"
#include "types/record.h"
#include "types/view.h"

/* The members of one service with what they carry, for the time of one plan.
   Finding the least loaded member takes time by the number of zones, and a
   change of load by the logarithm of the members of its zone.  */

#define PLACE_NONE G_MAXUINT32 /* no member */

struct placement
{
  GArray *members; /* struct place_member */
  GArray *zones;   /* struct place_zone */
  GArray
      *row_by_node;   /* guint32 by index of the node's handle: row plus one */
  gdouble total_load; /* of all members */
  gdouble live_capacity; /* of the live members */
  guint32 live_count;    /* live members */
};

void place_init (struct placement *place);
void place_clear (struct placement *place);
void place_add_member (struct placement *place, const struct view *view,
                       struct handle h);
void place_count_slice (struct placement *place,
                        const struct view_slice *slice, gdouble weight);
void place_sort_in (struct placement *place, guint32 row);
struct place_member *place_member_at (const struct placement *place,
                                      guint32 row);
struct place_zone *place_zone_at (const struct placement *place, guint32 row);
guint32 place_find_row (const struct placement *place, struct handle node);
gdouble place_relative_load (const struct place_member *member);
gdouble place_mean_load (const struct placement *place);
guint32 place_least_loaded (const struct placement *place);
guint32 place_most_loaded (const struct placement *place);
guint32 place_zone_spread (const struct placement *place);
gint place_compare_load (gconstpointer a, gconstpointer b, gpointer data);
gint place_compare_successions (gconstpointer a, gconstpointer b,
                                gpointer data);
void place_exclude (struct placement *place, guint32 row);
void place_add_load (struct placement *place, guint32 row, gdouble load);
void place_choose_successors (struct placement *place, guint32 owner,
                              struct record_slice *item);

#endif
