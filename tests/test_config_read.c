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
read_errors (const char *text)
{
  GArray *errors = g_array_new (FALSE, TRUE, sizeof (struct config_error));
  char *whole = g_strconcat (GOOD, text, NULL);
  struct config config;

  config_read (&config, "f.ini", whole, errors);
  config_clear (&config);
  g_free (whole);
  return errors;
}

/* Check that TEXT gives exactly one error, of KIND about KEY, with its
   line.  */
static void
check_error (const char *text, enum config_error_kind kind, const char *key)
{
  GArray *errors = read_errors (text);
  const struct config_error *error
      = &g_array_index (errors, struct config_error, 0);

  CU_ASSERT_EQUAL (errors->len, 1);
  if (errors->len == 1)
    {
      CU_ASSERT_EQUAL (error->kind, kind);
      CU_ASSERT_STRING_EQUAL (error->key, key);
      CU_ASSERT_STRING_EQUAL (error->file, "f.ini");
      CU_ASSERT_TRUE (error->line > 13);
    }
  g_array_free (errors, TRUE);
}

/* A valid configuration gives no errors, and its objects hold the values of
   the text.  */
static void
test_good (void)
{
  GArray *errors = g_array_new (FALSE, TRUE, sizeof (struct config_error));
  struct config config;

  CU_ASSERT_EQUAL (config_read (&config, "f.ini", GOOD, errors), ERR_NONE);
  CU_ASSERT_EQUAL (errors->len, 0);
  CU_ASSERT_EQUAL (config.rules->len, 1);
  CU_ASSERT_EQUAL (config_find_service (&config, "menu")->slice_count, 8);
  CU_ASSERT_EQUAL (config_find_server (&config, "s1")->weight, 100);
  config_clear (&config);
  g_array_free (errors, TRUE);
}

/* Each kind of error is found, with its line.  */
static void
test_each_error (void)
{
  check_error ("[server s2]\nplace = b\nservice = menu\n",
               CONFIG_ERROR_DANGLING, "place");
  check_error ("[server s2]\nplace = a\nservice = none\n",
               CONFIG_ERROR_DANGLING, "service");
  check_error ("[binding b]\nservice = menu\nkey = k\nserver = s9\n",
               CONFIG_ERROR_DANGLING, "server");
  check_error ("[place a]\n", CONFIG_ERROR_DUPLICATE, "");
  check_error ("[place b]\nregion = r\nregion = q\n", CONFIG_ERROR_DUPLICATE,
               "region");
  check_error ("[place b]\nregion = r\ncolour = red\n",
               CONFIG_ERROR_UNKNOWN_KEY, "colour");
  check_error ("[shop b]\nregion = r\n", CONFIG_ERROR_UNKNOWN_KIND, "");
  check_error ("[place b]\n", CONFIG_ERROR_MISSING, "region");
  check_error ("[service x]\ndivided = yes\nslices = 0\n", CONFIG_ERROR_RANGE,
               "slices");
  check_error ("[service x]\ndivided = yes\nslices = many\n",
               CONFIG_ERROR_VALUE, "slices");
  check_error ("[service x]\ndivided = maybe\n", CONFIG_ERROR_VALUE,
               "divided");
  check_error ("[rule r]\nservice = menu\npath = /m/\nkey-segment = 3\n"
               "run = once\n",
               CONFIG_ERROR_OVERLAP, "path");
  check_error ("[rule r]\nservice = menu\npath = m/\nkey-segment = 3\n"
               "run = once\n",
               CONFIG_ERROR_VALUE, "path");
  check_error ("[rule r]\nservice = menu\npath = /n/\nrun = once\n",
               CONFIG_ERROR_MISSING, "key-segment");
}

/* All errors of a configuration are found in one run.  */
static void
test_all_at_once (void)
{
  GArray *errors = read_errors ("[server s2]\nplace = b\nservice = none\n"
                                "[shop x]\n"
                                "[service y]\ndivided = yes\nslices = 0\n"
                                "hue = 1\n");

  CU_ASSERT_EQUAL (errors->len, 5);
  g_array_free (errors, TRUE);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "good", test_good },
                                 { "each error", test_each_error },
                                 { "all at once", test_all_at_once },
                                 CU_TEST_INFO_NULL };

  return suite_run ("config_read", tests);
}
