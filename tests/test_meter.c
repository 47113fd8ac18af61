#include "decide/meter.h"
#include "tests/suite.h"

#define NOW ((gint64)1000000)

/* Weights follow the counts once there are enough, with a mean of 1.  */
static void
test_weigh (void)
{
  GArray *weights = g_array_new (FALSE, TRUE, sizeof (gdouble));
  struct meter meter;
  guint i;

  meter_init (&meter);
  for (i = 0; i < 199; i++)
    meter_add (&meter, i % 4 == 3 ? 1 : 0, NOW);
  meter_compute_weights (&meter, 4, weights);
  CU_ASSERT_EQUAL (weights->len, 0);
  meter_add (&meter, 1, NOW);
  meter_compute_weights (&meter, 4, weights);
  CU_ASSERT_EQUAL_FATAL (weights->len, 4);
  CU_ASSERT_DOUBLE_EQUAL (g_array_index (weights, gdouble, 0), 2.8, 0.001);
  CU_ASSERT_DOUBLE_EQUAL (g_array_index (weights, gdouble, 1), 1.0, 0.001);
  CU_ASSERT_DOUBLE_EQUAL (g_array_index (weights, gdouble, 3), 0.1, 0.001);
  meter_clear (&meter);
  g_array_free (weights, TRUE);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "weigh", test_weigh }, CU_TEST_INFO_NULL };

  return suite_run ("meter", tests);
}
