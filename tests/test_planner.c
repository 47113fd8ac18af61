#include "standins/fleet.h"
#include "decide/core.h"
#include "decide/timing.h"
#include "tests/suite.h"

#include <string.h>

#define NOW ((gint64)1000000)

/* Count the records of KIND in OUT that are to be appended.  */
static guint
count_appends (const struct actions *out, enum record_kind kind)
{
  guint count = 0;
  guint i;

  for (i = 0; i < out->items->len; i++)
    {
      const struct action *action = actions_at (out, i);
      if (action->kind == ACTION_APPEND
          && action->u.append.record.kind == kind)
        count++;
    }
  return count;
}

/* Whether the node INCARNATION of a fleet whose slices have no owners proposes
   owners DELAY after the configuration was folded.  */
static gboolean
proposes (guint64 incarnation, gint64 delay)
{
  struct core_settings settings = { .incarnation = incarnation };
  struct record config = { .kind = RECORD_CONFIG };
  struct event event = { .kind = EVENT_TICK };
  struct actions out;
  struct fleet fleet;
  struct core core;
  gboolean found;
  guint i;

  fleet_init (&fleet, 96);
  for (i = 0; i < 9; i++)
    fleet_join (&fleet, i % 3, 20);
  g_strlcpy (settings.service, FLEET_SERVICE, sizeof settings.service);
  core_init (&core, &settings);
  view_clear (&core.view);
  core.view = fleet.view;
  view_init (&fleet.view);
  core.has_reached_log_end = TRUE;
  planner_on_record (&core.planner, &core.view, NULL, &config, NOW);
  actions_init (&out);
  core_step (&core, &event, NOW + delay, &out);
  found = count_appends (&out, RECORD_ASSIGN) == 1;
  actions_clear (&out);
  core_clear (&core);
  fleet_clear (&fleet);
  return found;
}

/* One node plans at once, a second if no plan comes, then a third, and no
   other ever.  */
static void
test_rank (void)
{
  guint at[4] = { 0 };
  guint64 i;
  guint k;

  for (i = 1; i <= 9; i++)
    for (k = 0; k < G_N_ELEMENTS (at); k++)
      if (proposes (i, k * PLAN_STAGGER_USEC))
        at[k]++;
  CU_ASSERT_EQUAL (at[0], 1);
  CU_ASSERT_EQUAL (at[1], 2);
  CU_ASSERT_EQUAL (at[2], 3);
  CU_ASSERT_EQUAL (at[3], 3);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "rank", test_rank }, CU_TEST_INFO_NULL };

  return suite_run ("planner", tests);
}
