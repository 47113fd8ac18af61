#include "decide/config_read.h"
#include "decide/rule.h"
#include "tests/suite.h"

static const char rule_text[] = "[place a]\nregion = r\n"
                                "[service s]\ndivided = yes\n"
                                "[service u]\ndivided = no\n"
                                "[rule get]\nservice = s\npath = /p/\n"
                                "methods = GET,HEAD\nkey-segment = 2\n"
                                "run = idempotent\n"
                                "[rule post]\nservice = s\npath = /p/\n"
                                "methods = POST\nkey-header = K\n"
                                "run = once\npriority = high\n"
                                "[rule long]\nservice = u\npath = /p/x/\n"
                                "run = idempotent\npriority = low\n";

/* The one header of the cases.  */
static const char *
find_header (gpointer data, const char *name)
{
  (void)name;
  return data;
}

/* Match a request against the rules above.  */
static enum reason
match (const char *method, const char *path, const char *header,
       struct request *request)
{
  GArray *errors = g_array_new (FALSE, TRUE, sizeof (struct config_error));
  struct config config;
  enum reason reason;

  CU_ASSERT_EQUAL (config_read (&config, "test", rule_text, errors), ERR_NONE);
  reason = rule_match (&config, method, path, find_header, (gpointer)header,
                       request);
  config_clear (&config);
  g_array_free (errors, TRUE);
  return reason;
}

/* Keys come from the path or a header; the class from the rule.  */
static void
test_keys (void)
{
  struct request request = { 0 };

  CU_ASSERT_EQUAL (match ("GET", "/p/k1/rest?q=1", NULL, &request),
                   REASON_NONE);
  CU_ASSERT_STRING_EQUAL (request.key, "k1");
  CU_ASSERT_EQUAL (request.run_class, RUN_IDEMPOTENT);
  CU_ASSERT_EQUAL (match ("POST", "/p/", "k2", &request), REASON_NONE);
  CU_ASSERT_STRING_EQUAL (request.key, "k2");
  CU_ASSERT_EQUAL (request.run_class, RUN_ONCE);
  CU_ASSERT_EQUAL (request.priority, PRIORITY_HIGH);
}

/* The longest path wins.  */
static void
test_longest (void)
{
  struct request request = { 0 };

  CU_ASSERT_EQUAL (match ("GET", "/p/x/k", NULL, &request), REASON_NONE);
  CU_ASSERT_STRING_EQUAL (request.service, "u");
  CU_ASSERT_STRING_EQUAL (request.key, "");
  CU_ASSERT_EQUAL (request.priority, PRIORITY_LOW);
}

/* No rule, or no key where the rule wants one.  */
static void
test_none (void)
{
  struct request request = { 0 };

  CU_ASSERT_EQUAL (match ("GET", "/q/k", NULL, &request), REASON_NO_RULE);
  CU_ASSERT_EQUAL (match ("PUT", "/p/k", NULL, &request), REASON_NO_RULE);
  CU_ASSERT_EQUAL (match ("GET", "/p/", NULL, &request), REASON_NO_KEY);
  CU_ASSERT_EQUAL (match ("POST", "/p/", NULL, &request), REASON_NO_KEY);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "keys", test_keys },
                                 { "longest", test_longest },
                                 { "none", test_none },
                                 CU_TEST_INFO_NULL };

  return suite_run ("rule", tests);
}
