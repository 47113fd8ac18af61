#include "decide/core.h"
#include "decide/apply.h"
#include "decide/slice.h"
#include "standins/fleet.h"
#include "tests/suite.h"

#include <string.h>

#define NOW ((gint64)1000000)
#define SECONDS(n) ((gint64)(n)*G_USEC_PER_SEC)

/* Make CORE the node 1 of FLEET, a lone member that owns all slices, and give
   it the fleet's view.  */
static void
start (struct fleet *fleet, struct core *core)
{
  struct core_settings settings = { .incarnation = 1 };
  struct planner planner;

  fleet_init (fleet, 8);
  planner_init (&planner);
  fleet_join (fleet, 0, 20);
  fleet_plan (fleet, &planner, NOW, 8);
  planner_clear (&planner);
  g_strlcpy (settings.service, FLEET_SERVICE, sizeof settings.service);
  core_init (core, &settings);
  view_clear (&core->view);
  core->view = fleet->view;
  view_init (&fleet->view);
  core->self = view_find_node (&core->view, 1);
  core->has_reached_log_end = TRUE;
}

/* Release both.  */
static void
stop (struct fleet *fleet, struct core *core)
{
  core_clear (core);
  fleet_clear (fleet);
}

/* Count COUNT runs of KEY.  */
static void
run_key (struct core *core, const char *key, guint count)
{
  guint i;

  for (i = 0; i < count; i++)
    sketch_add (&core->hot.sketch, key, NOW);
}

/* Look for hot keys at NOW and fold what is proposed.  Return the record, or
   NULL; it is good until the next call.  */
static const struct record *
step (struct core *core, gint64 now)
{
  static struct record record;
  struct actions out;
  guint count = core->outbox.items->len;

  actions_init (&out);
  hot_step (core, now, &out);
  if (core->outbox.items->len > count)
    {
      record = g_array_index (core->outbox.items, struct outbox_item, count)
                   .record;
      apply_record (&core->view, core->view.applied_offset, &record, &out);
      g_array_set_size (core->outbox.items, count);
      count = G_MAXUINT;
    }
  actions_clear (&out);
  return count == G_MAXUINT ? &record : NULL;
}

/* A key with a large share gets a slice of its own, once, and keeps it while
   it is hot.  */
static void
test_heat (void)
{
  const struct record *record;
  struct fleet fleet;
  struct core core;

  start (&fleet, &core);
  run_key (&core, "plan-1", 50);
  CU_ASSERT_PTR_NULL (step (&core, NOW));
  run_key (&core, "plan-1", 450);
  record = step (&core, NOW + SECONDS (3));
  CU_ASSERT_TRUE_FATAL (record != NULL);
  if (record == NULL)
    return;
  CU_ASSERT_EQUAL (record->kind, RECORD_HOT_KEY);
  CU_ASSERT_STRING_EQUAL (record->body.hot_key.key, "plan-1");
  CU_ASSERT_FALSE (record->body.hot_key.is_removal);
  CU_ASSERT_PTR_NULL (step (&core, NOW + SECONDS (6)));
  CU_ASSERT_PTR_NULL (step (&core, NOW + SECONDS (200)));
  stop (&fleet, &core);
}

/* A key that has been cold for a minute goes back, not before, and not if it
   is hot again in between.  */
static void
test_cool (void)
{
  const struct record *record;
  struct fleet fleet;
  struct core core;

  start (&fleet, &core);
  run_key (&core, "plan-1", 500);
  CU_ASSERT_PTR_NOT_NULL (step (&core, NOW));
  sketch_init (&core.hot.sketch);
  CU_ASSERT_PTR_NULL (step (&core, NOW + SECONDS (3)));
  CU_ASSERT_PTR_NULL (step (&core, NOW + SECONDS (60)));
  run_key (&core, "plan-1", 10);
  CU_ASSERT_PTR_NULL (step (&core, NOW + SECONDS (64)));
  sketch_init (&core.hot.sketch);
  CU_ASSERT_PTR_NULL (step (&core, NOW + SECONDS (67)));
  CU_ASSERT_PTR_NULL (step (&core, NOW + SECONDS (126)));
  record = step (&core, NOW + SECONDS (129));
  CU_ASSERT_TRUE_FATAL (record != NULL);
  if (record == NULL)
    return;
  CU_ASSERT_EQUAL (record->kind, RECORD_HOT_KEY);
  CU_ASSERT_TRUE (record->body.hot_key.is_removal);
  stop (&fleet, &core);
}

/* Bind KEY to SERVER in the configuration of VIEW.  */
static void
bind_key (struct view *view, const char *key, const char *server)
{
  struct config_binding binding = { .service = FLEET_SERVICE };

  g_strlcpy (binding.key, key, sizeof binding.key);
  g_strlcpy (binding.server, server, sizeof binding.server);
  g_array_append_val (view->config.bindings, binding);
}

/* A bound key gets a slice of its own without a single run, and keeps it.  */
static void
test_bound (void)
{
  const struct record *record;
  struct fleet fleet;
  struct core core;

  start (&fleet, &core);
  bind_key (&core.view, "plan-7", "server-1");
  record = step (&core, NOW);
  CU_ASSERT_TRUE_FATAL (record != NULL);
  if (record == NULL)
    return;
  CU_ASSERT_STRING_EQUAL (record->body.hot_key.key, "plan-7");
  CU_ASSERT_PTR_NULL (step (&core, NOW + SECONDS (3)));
  CU_ASSERT_PTR_NULL (step (&core, NOW + SECONDS (100)));
  stop (&fleet, &core);
}

/* Plans bring the slice of a bound key to its server, whatever the load.  */
static void
test_bound_moves (void)
{
  struct record record = { .version = RECORD_VERSION, .kind = RECORD_HOT_KEY };
  const struct view_service *service;
  struct planner planner;
  struct fleet fleet;
  guint64 owner;

  fleet_init (&fleet, 8);
  planner_init (&planner);
  fleet_join (&fleet, 0, 20);
  fleet_plan (&fleet, &planner, NOW, 8);
  service = fleet_service (&fleet);
  g_strlcpy (record.body.hot_key.service, FLEET_SERVICE, NAME_SIZE);
  g_strlcpy (record.body.hot_key.key, "plan-7", KEY_SIZE);
  record.body.hot_key.slice.epoch
      = view_slice_at (service, slice_of_key (service, "plan-7"))->epoch;
  fleet_apply (&fleet, &record);
  bind_key (&fleet.view, "plan-7", "server-2");
  fleet_join (&fleet, 1, 1);
  fleet_plan (&fleet, &planner, NOW, 8);
  owner = view_incarnation (
      &fleet.view,
      view_slice_at (service, slice_of_key (service, "plan-7"))->owner);
  CU_ASSERT_EQUAL (slice_of_key (service, "plan-7"), 8);
  CU_ASSERT_EQUAL (owner, 2);
  planner_clear (&planner);
  fleet_clear (&fleet);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "heat", test_heat },
                                 { "cool", test_cool },
                                 { "bound", test_bound },
                                 { "bound moves", test_bound_moves },
                                 CU_TEST_INFO_NULL };

  return suite_run ("hot", tests);
}
