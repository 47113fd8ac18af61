#include "standins/checker.h"
#include "tests/suite.h"

#include <glib/gstdio.h>

/* Check what two servers and a caller wrote.  */
static void
check (struct checker *checker, const char *first, const char *second,
       const char *caller)
{
  const char *texts[] = { first, second };
  char *dir = g_dir_make_tmp ("checker-XXXXXX", NULL);
  char *file = g_build_filename (dir, "file", NULL);
  guint i;

  checker_init (checker);
  for (i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      g_file_set_contents (file, texts[i], -1, NULL);
      CU_ASSERT_TRUE (checker_read_record (checker, file));
    }
  g_file_set_contents (file, caller, -1, NULL);
  CU_ASSERT_TRUE (checker_read_caller (checker, file, TRUE));
  checker_check_owners (checker);
  g_remove (file);
  g_rmdir (dir);
  g_free (file);
  g_free (dir);
}

/* One owner after the other is right.  */
static void
test_handover (void)
{
  struct checker checker;

  check (&checker,
         "1 begin key=k slice=3 fence=5.0 id=a\n2 done key=k "
         "slice=3 fence=5.0 id=a\n",
         "3 begin key=k slice=3 fence=5.1 id=b\n4 done key=k slice=3 "
         "fence=5.1 id=b\n",
         "a status=200 error=none x\nb status=200 error=none x\n");
  CU_ASSERT_TRUE (checker_passed (&checker));
  CU_ASSERT_EQUAL (checker.request_count, 2);
  checker_clear (&checker);
}

/* An old owner that runs after a new one is found.  */
static void
test_two_owners (void)
{
  struct checker checker;

  check (&checker,
         "1 begin key=k slice=3 fence=5.0 id=a\n5 begin key=k "
         "slice=3 fence=5.0 id=c\n",
         "3 begin key=k slice=3 fence=5.1 id=b\n", "");
  CU_ASSERT_EQUAL (checker.two_owners_count, 1);
  checker_clear (&checker);
}

/* A run that goes on under a new owner is found.  */
static void
test_overlap (void)
{
  struct checker checker;

  check (&checker,
         "1 begin key=k slice=3 fence=5.0 id=a\n5 done key=k "
         "slice=3 fence=5.0 id=a\n",
         "3 begin key=k slice=3 fence=5.1 id=b\n", "");
  CU_ASSERT_EQUAL (checker.overlap_count, 1);
  checker_clear (&checker);
}

/* Wrong answers to callers are found.  */
static void
test_answers (void)
{
  struct checker checker;

  check (&checker, "1 begin key= slice= fence= id=a\n",
         "3 begin key= slice= fence= id=a\n",
         "a status=503 error=none {\"outcome\":\"not-run\"}\n"
         "b status=200 error=none x\n");
  CU_ASSERT_EQUAL (checker.run_twice_count, 1);
  CU_ASSERT_EQUAL (checker.ran_not_run_count, 1);
  CU_ASSERT_EQUAL (checker.done_unrun_count, 1);
  checker_clear (&checker);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "handover", test_handover },
                                 { "two owners", test_two_owners },
                                 { "overlap", test_overlap },
                                 { "answers", test_answers },
                                 CU_TEST_INFO_NULL };

  return suite_run ("checker", tests);
}
