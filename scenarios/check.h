#ifndef SCENARIO_CHECK_H
#define SCENARIO_CHECK_H

#include "scenarios/world.h"

/* What must hold at every moment of a world.  */

void check_world (struct world *world);
void check_submission (struct world *world, guint i);
guint check_count_owners (const struct world *world, guint32 slice,
                          guint *owner);
guint check_count_runs (const struct world *world, const char *id);

#endif
