#include "platform/json_fields.h"

#include "platform/config.h"
#include "platform/heartbeat.h"
#include "platform/store_decode.h"
#include "tests/suite.h"

#include <string.h>

/* Odd JSON that another writer may leave among good entries.  */

#define DEPTH                                                                 \
  300000u /* nested arrays; a recursive parser runs out of stack              \
           */

/* Return a heartbeat with the rest REST.  */
static enum err
read_with (const char *rest)
{
  static struct heartbeat heartbeat;
  char *text = g_strdup_printf (
      "{\"address\":\"10.1.0.8:80\",\"info\":{\"service\":\"s\"%s", rest);
  enum err code = platform_heartbeat_read ("s-1", (const guint8 *)text,
                                           strlen (text), &heartbeat);

  g_free (text);
  return code;
}

/* Append COUNT times TEXT.  */
static void
repeat (GString *to, const char *text, guint count)
{
  while (count-- > 0)
    g_string_append (to, text);
}

/* Very deep nesting is rejected; braces within strings do not count.  */
static void
test_nesting (void)
{
  static const char *const open[] = { "[", "{\"a\":" };
  static const char *const close[] = { "]", "}" };
  JsonParser *parser;
  GString *text;
  guint i;

  for (i = 0; i < G_N_ELEMENTS (open); i++)
    {
      text = g_string_new ("{\"holds\":");
      repeat (text, open[i], DEPTH);
      g_string_append (text, "1");
      repeat (text, close[i], DEPTH);
      g_string_append (text, "}");
      CU_ASSERT_PTR_NULL (
          json_fields_parse ((const guint8 *)text->str, text->len));
      g_string_free (text, TRUE);
    }
  text = g_string_new ("{/*\"*/\"a\":");
  repeat (text, "[", DEPTH);
  CU_ASSERT_PTR_NULL (
      json_fields_parse ((const guint8 *)text->str, text->len));
  g_string_free (text, TRUE);
  text = g_string_new ("{\"a\":\"\\\"");
  repeat (text, "[", 1000);
  g_string_append (text, "\"}");
  parser = json_fields_parse ((const guint8 *)text->str, text->len);
  CU_ASSERT_PTR_NOT_NULL (parser);
  g_clear_object (&parser);
  g_string_free (text, TRUE);
}

/* Numbers that are too large or are no integers are rejected.  */
static void
test_numbers (void)
{
  static const char *const numbers[]
      = { "1e400", "-1e400", "99999999999999999999", "1e30", "-1", "true" };
  char rest[256];
  guint i;

  CU_ASSERT_EQUAL (read_with (",\"slots\":6},\"born\":7,"
                              "\"status\":{\"state\":\"ready\",\"seq\":4}}"),
                   ERR_NONE);
  for (i = 0; i < G_N_ELEMENTS (numbers); i++)
    {
      g_snprintf (rest, sizeof rest,
                  ",\"slots\":%s},\"born\":7,"
                  "\"status\":{\"state\":\"ready\",\"seq\":4}}",
                  numbers[i]);
      CU_ASSERT_EQUAL (read_with (rest), ERR_MALFORMED);
      g_snprintf (rest, sizeof rest,
                  ",\"slots\":6},\"born\":7,"
                  "\"status\":{\"state\":\"ready\",\"seq\":%s}}",
                  numbers[i]);
      CU_ASSERT_EQUAL (read_with (rest), ERR_MALFORMED);
    }
}

/* A time that is too large stays a time.  */
static void
test_times (void)
{
  static struct heartbeat heartbeat;
  const char *text
      = "{\"born\":7,\"address\":\"10.1.0.8:80\",\"info\":{\"service\":\"s\","
        "\"slots\":6},\"status\":{\"state\":\"ready\",\"seq\":4,"
        "\"cold-left-ms\":9223372036854775807}}";
  const char *config
      = "{\"version\":\"r1\",\"routes\":{\"columns\":[\"name\",\"host\","
        "\"path-prefix\",\"route-type\",\"timeout-ms\","
        "\"target-latency-ms\",\"service\"],\"rows\":[[\"a\",\"h\",\"/x/\","
        "\"idempotent\",9223372036854775807,1e300,\"s\"]]},"
        "\"services\":{\"columns\":[\"name\"],\"rows\":[[\"s\"]]}}";
  struct routing *routing;
  const struct route *route;

  CU_ASSERT_EQUAL (platform_heartbeat_read ("s-1", (const guint8 *)text,
                                            strlen (text), &heartbeat),
                   ERR_NONE);
  CU_ASSERT_TRUE (heartbeat.warmup_usec > 0);
  routing = platform_config_read ((const guint8 *)config, strlen (config));
  CU_ASSERT_PTR_NOT_NULL_FATAL (routing);
  route = routing_match (routing, "h", "/x/");
  CU_ASSERT_PTR_NOT_NULL_FATAL (route);
  if (route == NULL)
    return;
  CU_ASSERT_TRUE (route->timeout_usec > 0);
  CU_ASSERT_TRUE (route->target_latency_usec > 0);
  routing_free (routing);
}

/* An address with a port out of range names no server.  */
static void
test_ports (void)
{
  static const char *const addresses[]
      = { "10.1.0.8:65536", "10.1.0.8:99999999999999999999",
          "10.1.0.8:-1",    "10.1.0.8:0",
          "10.1.0.8:",      "10.1.0.256:80" };
  static struct heartbeat heartbeat;
  guint i;

  for (i = 0; i < G_N_ELEMENTS (addresses); i++)
    {
      char *text = g_strdup_printf (
          "{\"born\":7,\"address\":\"%s\",\"info\":{\"service\":\"s\","
          "\"slots\":6},\"status\":{\"state\":\"ready\",\"seq\":4}}",
          addresses[i]);
      CU_ASSERT_EQUAL (platform_heartbeat_read ("s-1", (const guint8 *)text,
                                                strlen (text), &heartbeat),
                       ERR_MALFORMED);
      g_free (text);
    }
}

/* An odd item of a page leaves the others in place.  */
static void
test_page (void)
{
  const char *text
      = "{\"end\":9,\"items\":[{\"key\":\"a\",\"value\":\"dg==\",\"offset\":1}"
        ","
        "{\"key\":\"b\",\"value\":[[[[]]]],\"offset\":2},"
        "{\"key\":\"c\",\"value\":\"dg==\",\"offset\":99999999999999999999},"
        "{\"key\":5},[],7,"
        "{\"key\":\"d\",\"value\":\"dg==\",\"offset\":4}]}";
  struct store_result result = { 0 };
  GByteArray *body = g_byte_array_new ();
  guint i;

  result.items = g_array_new (FALSE, TRUE, sizeof (struct store_item));
  g_byte_array_append (body, (const guint8 *)text, (guint)strlen (text));
  CU_ASSERT_EQUAL (store_decode_newest (body, &result), ERR_NONE);
  CU_ASSERT_TRUE (result.items->len >= 2);
  CU_ASSERT_STRING_EQUAL (
      g_array_index (result.items, struct store_item, 0).key, "a");
  CU_ASSERT_STRING_EQUAL (
      g_array_index (result.items, struct store_item, result.items->len - 1)
          .key,
      "d");
  for (i = 0; i < result.items->len; i++)
    g_free (g_array_index (result.items, struct store_item, i).key);
  g_array_free (result.items, TRUE);
  g_byte_array_unref (body);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "deep nesting ends the process", test_nesting },
          { "number too large", test_numbers },
          { "time too large", test_times },
          { "port out of range", test_ports },
          { "odd item hides the others", test_page },
          CU_TEST_INFO_NULL };

  return suite_run ("json fields", tests);
}
