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

struct place
{
  GArray *members;  /* struct place_member */
  GArray *zones;    /* struct place_zone */
  GArray *rows;     /* guint32 by index of the node's handle: row of the member
                       plus one, 0 where the node is not a member */
  gdouble load;     /* load of all members */
  gdouble capacity; /* capacity of the live members */
  guint32 live;     /* number of live members */
};

void place_init (struct place *place);
void place_clear (struct place *place);
void place_add_member (struct place *place, const struct view *view,
                       struct handle h);
void place_count (struct place *place, const struct view_slice *slice,
                  gdouble weight);
void place_order (struct place *place, guint32 row);
struct place_member *place_at (const struct place *place, guint32 row);
struct place_zone *place_zone_at (const struct place *place, guint32 row);
guint32 place_row (const struct place *place, struct handle node);
gdouble place_share (const struct place_member *member);
gdouble place_mean (const struct place *place);
guint32 place_least (const struct place *place);
guint32 place_most (const struct place *place);
guint32 place_spread (const struct place *place);
gint place_compare_load (gconstpointer a, gconstpointer b, gpointer data);
gint place_compare_standing (gconstpointer a, gconstpointer b, gpointer data);
void place_set_aside (struct place *place, guint32 row);
void place_add_load (struct place *place, guint32 row, gdouble load);
void place_successors (struct place *place, guint32 owner,
                       struct record_slice *item);

#endif
