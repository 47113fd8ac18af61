#include "platform/config.h"
#include "tests/suite.h"

#include <string.h>

/* Configurations with unusual rows, and with rows that cannot be used: each
   row costs itself at most.  */

#define SERVICES                                                              \
  "\"services\":{\"columns\":[\"name\",\"sharded\"],"                         \
  "\"rows\":[[\"s1\"],[\"s2\",true]]}"
#define GOOD_ROW "[\"good\",\"h\",\"/good/\",\"idempotent\",\"s1\",null]"

/* Return a configuration whose routes are a good one and ROWS.  */
static struct routing *
read_rows (const char *rows)
{
  char *text = g_strdup_printf (
      "{\"version\":\"r2\"," SERVICES ",\"routes\":{\"columns\":[\"name\","
      "\"host\",\"path-prefix\",\"route-type\",\"service\","
      "\"weighted-services\",\"timeout-ms\",\"priority\"],"
      "\"rows\":[%s,%s]}}",
      rows, GOOD_ROW);
  struct routing *routing
      = platform_config_read ((const guint8 *)text, strlen (text));

  g_free (text);
  return routing;
}

/* Return a text of LENGTH letters.  */
static char *
long_text (gsize length)
{
  char *text = g_malloc (length + 1);

  memset (text, 'x', length);
  text[length] = '\0';
  return text;
}

/* Check that the good route of ROUTING is served.  */
static void
check_good_route (const struct routing *routing)
{
  struct route *route = routing_match (routing, "h", "/good/");

  CU_ASSERT_PTR_NOT_NULL_FATAL (route);
  if (route == NULL)
    return;
  CU_ASSERT_FALSE (route->is_unusable);
  CU_ASSERT_STRING_EQUAL (route_next_service (route), "s1");
}

/* Guards against a version that is never in force because of a long name: a
   name, host or path of any length is valid.  */
static void
test_long_texts (void)
{
  static const gsize lengths[] = { 1, 62, 63, 64, 253, 1023, 1024, 9000 };
  guint i;

  for (i = 0; i < G_N_ELEMENTS (lengths); i++)
    {
      char *text = long_text (lengths[i]);
      char *prefix = g_strdup_printf ("/%s/", text);
      char *row = g_strdup_printf (
          "[\"%s\",\"%s\",\"%s\",\"idempotent\",\"s2\",null]", text, text,
          prefix);
      struct routing *routing = read_rows (row);
      struct route *route;
      CU_ASSERT_PTR_NOT_NULL_FATAL (routing);
      if (routing == NULL)
        return;
      check_good_route (routing);
      CU_ASSERT_EQUAL (routing->fault_count, 0);
      route = routing_match (routing, text, prefix);
      CU_ASSERT_PTR_NOT_NULL (route);
      if (route != NULL)
        {
          CU_ASSERT_STRING_EQUAL (route->name, text);
          CU_ASSERT_STRING_EQUAL (route_next_service (route), "s2");
        }
      routing_free (routing);
      g_free (row);
      g_free (prefix);
      g_free (text);
    }
}

/* Guards against a version that is never in force because of a route with many
   shares: a route may have any number, and each gets its part.  */
static void
test_many_shares (void)
{
  static const guint counts[] = { 1, 7, 8, 9, 100 };
  guint i;

  for (i = 0; i < G_N_ELEMENTS (counts); i++)
    {
      GString *row = g_string_new ("[\"a\",\"h\",\"/a/\",\"idempotent\",");
      GHashTable *chosen = g_hash_table_new (g_str_hash, g_str_equal);
      struct routing *routing;
      struct route *route;
      guint k;
      g_string_append (row, "null,[");
      for (k = 0; k < counts[i]; k++)
        g_string_append_printf (
            row, "%s{\"service\":\"part-%u\",\"weight\":1}", k ? "," : "", k);
      g_string_append (row, "]]");
      routing = read_rows (row->str);
      CU_ASSERT_PTR_NOT_NULL_FATAL (routing);
      if (routing == NULL)
        return;
      check_good_route (routing);
      route = routing_match (routing, "h", "/a/");
      CU_ASSERT_PTR_NOT_NULL (route);
      for (k = 0; route != NULL && k < counts[i]; k++)
        g_hash_table_add (chosen, (char *)route_next_service (route));
      CU_ASSERT_EQUAL (g_hash_table_size (chosen), counts[i]);
      g_hash_table_destroy (chosen);
      routing_free (routing);
      g_string_free (row, TRUE);
    }
}

/* Return how many of 1000 requests of the route with SHARES go to s1.  */
static guint
count_first (const char *shares)
{
  char *row = g_strdup_printf ("[\"a\",\"h\",\"/a/\",\"idempotent\",null,%s]",
                               shares);
  struct routing *routing = read_rows (row);
  struct route *route;
  guint first = 0;
  guint i;

  CU_ASSERT_PTR_NOT_NULL_FATAL (routing);
  check_good_route (routing);
  route = routing_match (routing, "h", "/a/");
  CU_ASSERT_PTR_NOT_NULL (route);
  for (i = 0; route != NULL && i < 1000; i++)
    first += strcmp (route_next_service (route), "s1") == 0;
  routing_free (routing);
  g_free (row);
  return first;
}

/* Guards against a version that is never in force because of its weights: they
   may have fractions, be 0, and exceed 32 bits alone or together.  */
static void
test_weights (void)
{
#define SHARES(a, b)                                                          \
  "[{\"service\":\"s1\",\"weight\":" a "},{\"service\":\"s2\",\"weight\":" b  \
  "}]"
  CU_ASSERT_EQUAL (count_first (SHARES ("3", "1")), 750);
  CU_ASSERT_EQUAL (count_first (SHARES ("0.5", "0.5")), 500);
  CU_ASSERT_EQUAL (count_first (SHARES ("0.25", "0.75")), 250);
  CU_ASSERT_EQUAL (count_first (SHARES ("1e-3", "3e-3")), 250);
  CU_ASSERT_EQUAL (count_first (SHARES ("0", "5")), 0);
  CU_ASSERT_EQUAL (count_first (SHARES ("5", "0.0")), 1000);
  CU_ASSERT_EQUAL (count_first (SHARES ("4294967295", "4294967295")), 500);
  CU_ASSERT_EQUAL (count_first (SHARES ("8589934592", "25769803776")), 250);
  CU_ASSERT_EQUAL (count_first (SHARES ("1e300", "3e300")), 250);
}

/* Check that ROW is at fault without costing the good route anything, and that
   requests for /a/ at h are refused if IS_KEPT is set; otherwise no route
   matches them.  */
static void
check_faulty_row (const char *row, gboolean is_kept)
{
  struct routing *routing = read_rows (row);
  const struct route *route;

  CU_ASSERT_PTR_NOT_NULL_FATAL (routing);
  if (routing == NULL)
    return;
  check_good_route (routing);
  CU_ASSERT_TRUE (routing->fault_count > 0);
  CU_ASSERT_TRUE (g_str_has_prefix (routing->first_fault, "routes[0]"));
  route = routing_match (routing, "h", "/a/");
  CU_ASSERT_EQUAL (route != NULL, is_kept);
  if (route != NULL)
    CU_ASSERT_TRUE (route->is_unusable);
  routing_free (routing);
}

/* Guards against a version that is dropped whole because of a row that cannot
   be used.  Where host and path are known, requests are refused: a route with
   a shorter prefix must not get them.  */
static void
test_faulty_rows (void)
{
  char *name = long_text (NAME_SIZE);
  char *row = g_strdup_printf (
      "[\"a\",\"h\",\"/a/\",\"idempotent\",\"%s\",null]", name);

  check_faulty_row (row, TRUE);
  check_faulty_row ("7", FALSE);
  check_faulty_row ("null", FALSE);
  check_faulty_row ("{}", FALSE);
  check_faulty_row ("[]", FALSE);
  check_faulty_row ("[\"a\",\"h\"]", FALSE);
  check_faulty_row ("[\"a\",null,\"/a/\",\"idempotent\",\"s1\"]", FALSE);
  check_faulty_row ("[\"a\",\"h\",7,\"idempotent\",\"s1\"]", FALSE);
  check_faulty_row ("[\"a\",\"h\",\"/a/\",\"idempotent\",null]", TRUE);
  check_faulty_row ("[\"a\",\"h\",\"/a/\",\"idempotent\",7]", TRUE);
  check_faulty_row ("[\"a\",\"h\",\"/a/\",\"idempotent\",\"\"]", TRUE);
  check_faulty_row ("[\"a\",\"h\",\"/a/\"]", TRUE);
  check_faulty_row (
      "[\"a\",\"h\",\"/a/\",\"idempotent\",null," SHARES ("0", "0") "]", TRUE);
  check_faulty_row (
      "[\"a\",\"h\",\"/a/\",\"idempotent\",null,[{\"service\":\"s1\"}]]",
      TRUE);
  check_faulty_row (
      "[\"a\",\"h\",\"/a/\",\"idempotent\",null," SHARES ("-1", "\"x\"") "]",
      TRUE);
  g_free (row);
  g_free (name);
}

/* Guards against a row that is lost for a field that it can do without.  */
static void
test_odd_fields (void)
{
  static const char *const rows[]
      = { "[null,\"h\",\"/a/\",\"idempotent\",\"s1\"]",
          "[\"a\",\"h\",\"/a/\",null,\"s1\"]",
          "[\"a\",\"h\",\"/a/\",\"a-later-type\",\"s1\"]",
          "[\"a\",\"h\",\"/a/\",\"idempotent\",\"s1\",[]]",
          "[\"a\",\"h\",\"/a/\",\"idempotent\",\"s1\",null,1.5,2.0]",
          "[\"a\",\"h\",\"/a/\",\"idempotent\",\"s1\",null,1,2,3,4,5]" };
  static const char *const faulty[]
      = { "[7,\"h\",\"/a/\",\"idempotent\",\"s1\"]",
          "[\"a\",\"h\",\"/a/\",[],\"s1\"]",
          "[\"a\",\"h\",\"/a/\",\"idempotent\",\"s1\",\"none\"]",
          "[\"a\",\"h\",\"/a/\",\"idempotent\",\"s1\",null,\"1s\"]",
          "[\"a\",\"h\",\"/a/\",\"idempotent\",null," SHARES ("1", "-1") "]" };
  guint i;

  for (i = 0; i < G_N_ELEMENTS (rows) + G_N_ELEMENTS (faulty); i++)
    {
      gboolean is_faulty = i >= G_N_ELEMENTS (rows);
      struct routing *routing
          = read_rows (is_faulty ? faulty[i - G_N_ELEMENTS (rows)] : rows[i]);
      struct route *route;
      CU_ASSERT_PTR_NOT_NULL_FATAL (routing);
      if (routing == NULL)
        return;
      check_good_route (routing);
      CU_ASSERT_EQUAL (routing->fault_count, is_faulty ? 1u : 0u);
      route = routing_match (routing, "h", "/a/");
      CU_ASSERT_PTR_NOT_NULL (route);
      if (route != NULL)
        CU_ASSERT_STRING_EQUAL (route_next_service (route), "s1");
      routing_free (routing);
    }
}

/* Guards against services that are lost with one that cannot be used.  */
static void
test_faulty_services (void)
{
  const char *text
      = "{\"version\":\"r2\",\"services\":{\"columns\":[\"name\",\"sharded\"],"
        "\"rows\":[7,[],[null,true],[\"\"],[\"s3\",\"yes\"],[\"s2\",true]]},"
        "\"routes\":{\"columns\":[],\"rows\":[]}}";
  struct routing *routing
      = platform_config_read ((const guint8 *)text, strlen (text));

  CU_ASSERT_PTR_NOT_NULL_FATAL (routing);
  if (routing == NULL)
    return;
  CU_ASSERT_EQUAL (routing->services->len, 2);
  CU_ASSERT_EQUAL (routing->fault_count, 5);
  CU_ASSERT_STRING_EQUAL (routing->first_fault, "services[0]");
  CU_ASSERT_TRUE (routing_find_service (routing, "s2")->sharded);
  CU_ASSERT_FALSE (routing_find_service (routing, "s3")->sharded);
  routing_free (routing);
}

int
main (void)
{
  CU_TestInfo tests[]
      = { { "version with long texts is not in force", test_long_texts },
          { "version with many shares is not in force", test_many_shares },
          { "version with unusual weights is not in force", test_weights },
          { "version is lost with one row", test_faulty_rows },
          { "row is lost with one field", test_odd_fields },
          { "services are lost with one row", test_faulty_services },
          CU_TEST_INFO_NULL };

  return suite_run ("config_rows", tests);
}
