#ifndef STANDIN_FLEET_H
#define STANDIN_FLEET_H

#include "decide/plan_pass.h"
#include "types/action.h"
#include "types/view.h"

/* A fleet on paper: a view filled by folding records, for tests and benches
   that call the decisions directly.  */

#define FLEET_SERVICE "enquiry-desk" /* its one divided service */

struct fleet
{
  struct view view;               /* what the records add up to */
  struct actions dropped_actions; /* notes of the fold, dropped */
  guint64 last_incarnation;       /* of the node that joined last */
};

void fleet_init (struct fleet *fleet, guint32 slices);
void fleet_clear (struct fleet *fleet);
const struct view_service *fleet_service (const struct fleet *fleet);
void fleet_apply (struct fleet *fleet, const struct record *record);
guint64 fleet_join (struct fleet *fleet, guint32 zone, guint32 slots);
void fleet_leave (struct fleet *fleet, guint64 incarnation);
void fleet_remove (struct fleet *fleet, guint64 incarnation);
guint32 fleet_plan (struct fleet *fleet, struct planner *planner, gint64 now,
                    guint32 rounds);
guint32 fleet_owned_count (const struct fleet *fleet, guint64 incarnation);

#endif
