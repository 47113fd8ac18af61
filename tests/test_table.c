#include "types/table.h"
#include "tests/suite.h"

/* A table filled by table_mirror keeps no list of reusable rows.  Such a list
   would grow with each removal and never shrink, as the other table issues the
   handles.  */
static void
test_mirror_keeps_no_rows (void)
{
  struct table source;
  struct table mirror;
  guint i;

  table_init (&source, sizeof (guint64));
  table_init (&mirror, sizeof (guint64));
  for (i = 0; i < 1000; i++)
    {
      struct handle h = table_add (&source);
      CU_ASSERT_PTR_NOT_NULL (table_mirror (&mirror, h));
      CU_ASSERT_TRUE (table_remove (&mirror, h));
      CU_ASSERT_TRUE (table_remove (&source, h));
    }
  CU_ASSERT_EQUAL (mirror.count, 0);
  CU_ASSERT_EQUAL (mirror.free_rows->len, 0);
  CU_ASSERT_EQUAL (source.free_rows->len, 1);
  table_clear (&source);
  table_clear (&mirror);
}

/* A stale handle finds nothing, even though its row is in use again.  */
static void
test_stale_handle (void)
{
  struct table table;
  struct handle first;
  struct handle second;

  table_init (&table, sizeof (guint64));
  first = table_add (&table);
  table_remove (&table, first);
  second = table_add (&table);
  CU_ASSERT_EQUAL (handle_index (first), handle_index (second));
  CU_ASSERT_PTR_NULL (table_get (&table, first));
  CU_ASSERT_PTR_NOT_NULL (table_get (&table, second));
  table_clear (&table);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "mirror keeps no rows", test_mirror_keeps_no_rows },
          { "stale handle", test_stale_handle },
          CU_TEST_INFO_NULL };

  return suite_run ("table", tests);
}
