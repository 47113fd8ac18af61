#include "decide/config_read.h"
#include "tests/suite.h"

#include <string.h>

#define GOOD                                                                  \
  "[place a]\nregion = r\n"                                                   \
  "[service menu]\ndivided = yes\nslices = 8\n"                               \
  "[server s1]\nplace = a\nservice = menu\n"                                  \
  "[rule look]\nservice = menu\npath = /m/\nkey-segment = 2\n"                \
  "run = idempotent\n"                                                        \
  "[binding vip]\nservice = menu\nkey = k1\nserver = s1\n"

/* Read GOOD followed by TEXT and return the errors.  */
static GArray *
read_faults (const char *text)
{
  GArray *faults = g_array_new (FALSE, TRUE, sizeof (struct fault));
  char *whole = g_strconcat (GOOD, text, NULL);
  struct config config;

  config_read (&config, "f.ini", whole, faults);
  config_clear (&config);
  g_free (whole);
  return faults;
}

/* Check that TEXT gives exactly one error, of KIND about KEY, with its
   line.  */
static void
check_fault (const char *text, enum fault_kind kind, const char *key)
{
  GArray *faults = read_faults (text);
  const struct fault *fault = &g_array_index (faults, struct fault, 0);

  CU_ASSERT_EQUAL (faults->len, 1);
  if (faults->len == 1)
    {
      CU_ASSERT_EQUAL (fault->kind, kind);
      CU_ASSERT_STRING_EQUAL (fault->key, key);
      CU_ASSERT_STRING_EQUAL (fault->file, "f.ini");
      CU_ASSERT_TRUE (fault->line > 13);
    }
  g_array_free (faults, TRUE);
}

/* A valid configuration gives no errors, and its objects hold the values of
   the text.  */
static void
test_good (void)
{
  GArray *faults = g_array_new (FALSE, TRUE, sizeof (struct fault));
  struct config config;

  CU_ASSERT_EQUAL (config_read (&config, "f.ini", GOOD, faults), ERR_NONE);
  CU_ASSERT_EQUAL (faults->len, 0);
  CU_ASSERT_EQUAL (config.rules->len, 1);
  CU_ASSERT_EQUAL (config_find_service (&config, "menu")->slices, 8);
  CU_ASSERT_EQUAL (config_find_server (&config, "s1")->weight, 100);
  config_clear (&config);
  g_array_free (faults, TRUE);
}

/* Each kind of error is found, with its line.  */
static void
test_each_fault (void)
{
  check_fault ("[server s2]\nplace = b\nservice = menu\n", FAULT_DANGLING,
               "place");
  check_fault ("[server s2]\nplace = a\nservice = none\n", FAULT_DANGLING,
               "service");
  check_fault ("[binding b]\nservice = menu\nkey = k\nserver = s9\n",
               FAULT_DANGLING, "server");
  check_fault ("[place a]\n", FAULT_DUPLICATE, "");
  check_fault ("[place b]\nregion = r\nregion = q\n", FAULT_DUPLICATE,
               "region");
  check_fault ("[place b]\nregion = r\ncolour = red\n", FAULT_UNKNOWN,
               "colour");
  check_fault ("[shop b]\nregion = r\n", FAULT_KIND, "");
  check_fault ("[place b]\n", FAULT_MISSING, "region");
  check_fault ("[service x]\ndivided = yes\nslices = 0\n", FAULT_RANGE,
               "slices");
  check_fault ("[service x]\ndivided = yes\nslices = many\n", FAULT_VALUE,
               "slices");
  check_fault ("[service x]\ndivided = maybe\n", FAULT_VALUE, "divided");
  check_fault ("[rule r]\nservice = menu\npath = /m/\nkey-segment = 3\n"
               "run = once\n",
               FAULT_OVERLAP, "path");
  check_fault ("[rule r]\nservice = menu\npath = m/\nkey-segment = 3\n"
               "run = once\n",
               FAULT_VALUE, "path");
  check_fault ("[rule r]\nservice = menu\npath = /n/\nrun = once\n",
               FAULT_MISSING, "key-segment");
}

/* All errors of a configuration are found in one run.  */
static void
test_all_at_once (void)
{
  GArray *faults = read_faults ("[server s2]\nplace = b\nservice = none\n"
                                "[shop x]\n"
                                "[service y]\ndivided = yes\nslices = 0\n"
                                "hue = 1\n");

  CU_ASSERT_EQUAL (faults->len, 5);
  g_array_free (faults, TRUE);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "good", test_good },
                                 { "each fault", test_each_fault },
                                 { "all at once", test_all_at_once },
                                 CU_TEST_INFO_NULL };

  return suite_run ("config_read", tests);
}
