#include "decide/sketch.h"
#include "tests/suite.h"

#include <stdio.h>

#define NOW ((gint64)1000000)
#define RUNS 20000u

/* Every fifth run is of one key, all others of keys that come once.  */
static void
fill (struct sketch *sketch)
{
  char key[KEY_SIZE];
  guint i;

  sketch_init (sketch);
  for (i = 0; i < RUNS; i++)
    {
      snprintf (key, sizeof key, "plan-%u", i % 5 == 0 ? 0 : i);
      sketch_add (sketch, key, NOW);
    }
}

/* The hot key is found among thousands, and no other is taken for hot.  */
static void
test_top (void)
{
  struct sketch sketch;
  guint hot = 0;
  guint i;

  fill (&sketch);
  for (i = 0; i < SKETCH_KEYS; i++)
    if (sketch_min_share (&sketch, i) > 0.1)
      {
        hot++;
        CU_ASSERT_STRING_EQUAL (sketch.keys[i].key, "plan-0");
        CU_ASSERT_DOUBLE_EQUAL (sketch_min_share (&sketch, i), 0.2, 0.001);
      }
    else
      CU_ASSERT_TRUE (sketch_min_share (&sketch, i) < 0.001);
  CU_ASSERT_EQUAL (hot, 1);
  CU_ASSERT_DOUBLE_EQUAL (sketch_max_share (&sketch, "plan-0"), 0.2, 0.001);
  CU_ASSERT_EQUAL (sketch_max_share (&sketch, "plan-none"), 0);
}

/* Old runs fade: after ten halvings a key of today outweighs them.  */
static void
test_fade (void)
{
  struct sketch sketch;
  gint64 later = NOW + (gint64)101 * G_USEC_PER_SEC;
  guint i;

  fill (&sketch);
  for (i = 0; i < 100; i++)
    sketch_add (&sketch, "plan-today", later);
  CU_ASSERT_TRUE (sketch_max_share (&sketch, "plan-today") > 0.8);
  CU_ASSERT_TRUE (sketch_max_share (&sketch, "plan-0") < 0.05);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "top", test_top }, { "fade", test_fade }, CU_TEST_INFO_NULL };

  return suite_run ("sketch", tests);
}
