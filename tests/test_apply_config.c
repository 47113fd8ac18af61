#include "tests/fixture.h"
#include "tests/suite.h"

/* Of two configurations based on the same one, the first on the log is taken;
   a repeat of either changes nothing.  */
static void
test_two_at_once (void)
{
  struct view view;
  guint64 base;
  guint64 taken;

  fixture_view (&view);
  base = view.config_offset;
  fixture_config (&view, base, FIXTURE_CONFIG "\n[place b]\nregion = r\n", 8);
  taken = view.config_offset;
  CU_ASSERT_TRUE (taken > base);
  fixture_config (&view, base, FIXTURE_CONFIG "\n[place c]\nregion = r\n", 9);
  fixture_config (&view, base, FIXTURE_CONFIG "\n[place b]\nregion = r\n", 8);
  CU_ASSERT_EQUAL (view.config_offset, taken);
  CU_ASSERT_PTR_NOT_NULL (config_find_zone (&view.config, "b"));
  CU_ASSERT_PTR_NULL (config_find_zone (&view.config, "c"));
  CU_ASSERT_EQUAL (view.config_history[1].offset, taken);
  CU_ASSERT_EQUAL (view.config_history[1].writer, 8);
  CU_ASSERT_EQUAL (view.config_history[2].offset, 0);
  view_clear (&view);
}

/* A configuration with an error is dropped as a whole.  */
static void
test_faulty (void)
{
  struct view view;
  guint64 base;

  fixture_view (&view);
  base = view.config_offset;
  fixture_config (&view, base,
                  FIXTURE_CONFIG "\n[rule r]\nservice = none\npath = /x\n"
                                 "run = once\n",
                  8);
  CU_ASSERT_EQUAL (view.config_offset, base);
  CU_ASSERT_STRING_EQUAL (view.config_text, FIXTURE_CONFIG);
  view_clear (&view);
}

/* The number of slices of a service never changes, even if a configuration in
   between leaves the service out.  */
static void
test_fixed (void)
{
  static const char without[] = "[place a]\nregion = r\n";
  static const char other[] = "[place a]\nregion = r\n"
                              "[service menu]\ndivided = yes\nslices = 9\n";
  struct view view;
  guint64 base;

  fixture_view (&view);
  fixture_config (&view, view.config_offset, other, 8);
  CU_ASSERT_STRING_EQUAL (view.config_text, FIXTURE_CONFIG);
  fixture_config (&view, view.config_offset, without, 8);
  CU_ASSERT_STRING_EQUAL (view.config_text, without);
  CU_ASSERT_FALSE (view_find_service (&view, "menu")->configured);
  base = view.config_offset;
  fixture_config (&view, base, other, 8);
  CU_ASSERT_EQUAL (view.config_offset, base);
  fixture_config (&view, base, FIXTURE_CONFIG, 8);
  CU_ASSERT_TRUE (view_find_service (&view, "menu")->configured);
  view_clear (&view);
}

/* A record that was applied before is skipped: a view never goes back.  */
static void
test_never_back (void)
{
  struct view view;
  struct record record = { .version = RECORD_VERSION, .kind = RECORD_CONFIG };
  struct actions out;
  guint64 next;

  fixture_view (&view);
  next = view.applied_offset;
  record.body.config.base_offset = view.config_offset;
  record.body.config.text = (char *)"[place z]\nregion = r\n";
  actions_init (&out);
  apply_record (&view, view.config_offset, &record, &out);
  apply_record (&view, next - 1, &record, &out);
  CU_ASSERT_EQUAL (view.applied_offset, next);
  CU_ASSERT_STRING_EQUAL (view.config_text, FIXTURE_CONFIG);
  actions_clear (&out);
  view_clear (&view);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "two at once", test_two_at_once },
                                 { "faulty", test_faulty },
                                 { "fixed", test_fixed },
                                 { "never back", test_never_back },
                                 CU_TEST_INFO_NULL };

  return suite_run ("apply_config", tests);
}
