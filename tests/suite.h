#ifndef TESTS_SUITE_H
#define TESTS_SUITE_H

#include <CUnit/Basic.h>

/* Runs the suite of a test program with CUnit.  */

/* Run TESTS as the suite NAME.  Return the exit status: 0 if all tests passed
   and at least one assertion ran, 2 if CUnit cannot be initialized, otherwise
   1.  */
static inline int
suite_run (const char *name, CU_TestInfo *tests)
{
  CU_SuiteInfo suites[]
      = { { name, NULL, NULL, NULL, NULL, tests }, CU_SUITE_INFO_NULL };
  int failed;

  if (CU_initialize_registry () != CUE_SUCCESS
      || CU_register_suites (suites) != CUE_SUCCESS)
    return 2;
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed
      = CU_get_number_of_failures () > 0 || CU_get_number_of_asserts () == 0;
  CU_cleanup_registry ();
  return failed ? 1 : 0;
}

#endif
