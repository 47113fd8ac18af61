#ifndef BAMBOOTALLY_PLACE_H
#define BAMBOOTALLY_PLACE_H

#include "decide/place_member.h"
#include "decide/place_zone.h"
#include "types/record.h"
#include "types/view.h"

/* The members of one service with the load of their slices, built anew for
   each planning pass.  Finding the least loaded member is linear in the number
   of zones; a change of load is logarithmic in the members of a zone.  */

#define PLACE_NONE G_MAXUINT32 /* stands for no member */

struct placement
{
  GArray *members;       /* struct place_member */
  GArray *zones;         /* struct place_zone */
  GArray *row_by_node;   /* guint32 by handle index: row plus one, 0 where the
                            node is no member */
  gdouble total_load;    /* load of all members */
  gdouble live_capacity; /* capacity of the live members */
  guint32 live_count;    /* number of live members */
};

void place_init (struct placement *placement);
void place_clear (struct placement *placement);
void place_add_member (struct placement *placement, const struct view *view,
                       struct handle h);
void place_count_slice (struct placement *placement,
                        const struct view_slice *slice, gdouble weight);
void place_sort_in (struct placement *placement, guint32 row);
struct place_member *place_member_at (const struct placement *placement,
                                      guint32 row);
struct place_zone *place_zone_at (const struct placement *placement,
                                  guint32 row);
guint32 place_find_row (const struct placement *placement, struct handle node);
gdouble place_relative_load (const struct place_member *member);
gdouble place_mean_load (const struct placement *placement);
guint32 place_least_loaded (const struct placement *placement);
guint32 place_most_loaded (const struct placement *placement);
guint32 place_zone_spread (const struct placement *placement);
gint place_compare_load (gconstpointer a, gconstpointer b, gpointer data);
gint place_compare_successions (gconstpointer a, gconstpointer b,
                                gpointer data);
void place_exclude (struct placement *placement, guint32 row);
void place_add_load (struct placement *placement, guint32 row, gdouble load);
void place_choose_successors (struct placement *placement, guint32 owner,
                              struct record_slice *item);

#endif
