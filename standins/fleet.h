#ifndef STANDIN_FLEET_H
#define STANDIN_FLEET_H

#include "decide/plan_pass.h"
#include "types/action.h"
#include "types/view.h"

/* A fleet without processes: a view filled by applying records, for tests and
   benchmarks that call the functions of src/decide directly.  */

#define FLEET_SERVICE "enquiry-desk" /* the only service, divided */

struct fleet
{
  struct view view;               /* view that the records were applied to */
  struct actions dropped_actions; /* output of apply_record, unused */
  guint64 last_incarnation; /* incarnation of the node that joined last */
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
