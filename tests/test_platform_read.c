#include "platform/heartbeat.h"
#include "platform/config.h"
#include "platform/store_decode.h"
#include "tests/suite.h"

#include <string.h>

static const char config_text[]
    = "{\"version\":\"r12\",\"routes\":{\"columns\":[\"name\",\"host\","
      "\"path-prefix\",\"route-type\",\"timeout-ms\",\"target-latency-ms\","
      "\"priority\",\"weighted-services\",\"max-attempts\",\"service\"],"
      "\"rows\":[[\"a\",\"h.example\",\"/x/\",\"idempotent\",1000,500,2,"
      "[{\"service\":\"s1\",\"weight\":90},{\"service\":\"s2\",\"weight\":10}"
      "],2,null],[\"b\",\"h.example\",\"/x/y/\",\"non_idempotent\",1200,600,1,"
      "null,null,\"s2\"]]},\"services\":{\"columns\":[\"name\",\"max-conns\","
      "\"sharded\"],\"rows\":[[\"s1\",110,true],[\"s2\",110,null]]}}";

/* A configuration is decoded into the project's own types.  */
static void
test_config (void)
{
  struct routing *routing = platform_config_read ((const guint8 *)config_text,
                                                  strlen (config_text));
  struct route *route;
  guint first = 0;
  guint i;

  CU_ASSERT_PTR_NOT_NULL_FATAL (routing);
  if (routing == NULL)
    return;
  CU_ASSERT_EQUAL (routing->version, 12);
  CU_ASSERT_TRUE (routing_find_service (routing, "s1")->sharded);
  CU_ASSERT_FALSE (routing_find_service (routing, "s2")->sharded);
  route = routing_match (routing, "H.example", "/x/y/z");
  CU_ASSERT_PTR_NOT_NULL_FATAL (route);
  if (route == NULL)
    return;
  CU_ASSERT_STRING_EQUAL (route->name, "b");
  CU_ASSERT_EQUAL (route->run_class, RUN_ONCE);
  CU_ASSERT_EQUAL (route->max_attempts, 1);
  CU_ASSERT_EQUAL (route->timeout_usec, 1200000);
  CU_ASSERT_EQUAL (route->target_latency_usec, 600000);
  CU_ASSERT_PTR_EQUAL (routing_find_route (routing, route->number), route);
  CU_ASSERT_PTR_NULL (routing_find_route (routing, 0));
  route = routing_match (routing, "h.example", "/x/z");
  if (route == NULL)
    return;
  CU_ASSERT_STRING_EQUAL (route->name, "a");
  for (i = 0; i < 100; i++)
    if (strcmp (route_next_service (route), "s1") == 0)
      first++;
  CU_ASSERT_EQUAL (first, 90);
  CU_ASSERT_PTR_NULL (routing_match (routing, "h.example", "/y/"));
  CU_ASSERT_PTR_NULL (routing_match (routing, "other", "/x/y/"));
  routing_free (routing);
}

/* A truncated configuration is rejected, at any length.  */
static void
test_truncated_config (void)
{
  gsize length;

  for (length = 0; length < strlen (config_text); length++)
    CU_ASSERT_PTR_NULL (
        platform_config_read ((const guint8 *)config_text, length));
}

/* Decodes TEXT as a heartbeat of s-1.  */
static enum err
read_heartbeat (const char *text, struct heartbeat *heartbeat)
{
  return platform_heartbeat_read ("s-1", (const guint8 *)text, strlen (text),
                                  heartbeat);
}

/* A heartbeat is decoded, with the held and the released ranges.  */
static void
test_heartbeat (void)
{
  static struct heartbeat heartbeat;

  CU_ASSERT_EQUAL (
      read_heartbeat ("{\"born\":7,\"address\":\"10.1.0.8:80\",\"info\":{"
                      "\"service\":\"s\",\"slots\":6},\"status\":{\"state\":"
                      "\"draining\",\"seq\":4,\"cold-left-ms\":30},\"holds\":"
                      "[[0,9,3]],\"freed\":[[10,19,\"t\"]]}",
                      &heartbeat),
      ERR_NONE);
  CU_ASSERT_EQUAL (heartbeat.instance.started_at_msec, 7);
  CU_ASSERT_EQUAL (heartbeat.slots, 6);
  CU_ASSERT_EQUAL (heartbeat.sequence, 4);
  CU_ASSERT_EQUAL (heartbeat.warmup_usec, 30000);
  CU_ASSERT_TRUE (heartbeat.draining);
  CU_ASSERT_EQUAL (heartbeat.held_count, 1);
  CU_ASSERT_EQUAL (heartbeat.held_ranges[0].fence, 3);
  CU_ASSERT_EQUAL (heartbeat.released_count, 1);
  CU_ASSERT_STRING_EQUAL (heartbeat.released_ranges[0].handover_token, "t");
  heartbeat_clear (&heartbeat);
}

/* Malformed heartbeats are rejected.  */
static void
test_malformed_heartbeats (void)
{
  static const char *const texts[] = {
    "",
    "[]",
    "{}",
    "{\"born\":\"x\"}",
    "{\"born\":7,\"address\":\"10.1.0.8:80\",\"info\":{\"service\":\"s\","
    "\"slots\":6},\"status\":{\"state\":\"asleep\",\"seq\":4}}",
    "{\"born\":7,\"address\":\"nowhere\",\"info\":{\"service\":\"s\","
    "\"slots\":6},\"status\":{\"state\":\"ready\",\"seq\":4}}",
    "{\"born\":7,\"address\":\"10.1.0.8:80\",\"info\":{\"service\":\"s\","
    "\"slots\":6},\"status\":{\"state\":\"ready\",\"seq\":4},\"holds\":"
    "[[9,0,1]]}",
    "{\"born\":7,\"address\":\"10.1.0.8:80\",\"info\":{\"service\":\"s\","
    "\"slots\":6},\"status\":{\"state\":\"ready\",\"seq\":4},\"holds\":"
    "\"all\"}"
  };
  static struct heartbeat heartbeat;
  guint i;

  for (i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      CU_ASSERT_EQUAL (read_heartbeat (texts[i], &heartbeat), ERR_MALFORMED);
      heartbeat_clear (&heartbeat);
    }
}

/* An answer lists the ranges to hold, or is empty if it renews nothing.  */
static void
test_answer (void)
{
  static struct heartbeat_answer answer
      = { .renews_grant = TRUE,
          .grant_usec = 2500000,
          .range_count = 2,
          .ranges = { { 0, 9, 3, "" }, { 20, 29, 4, "t" } } };
  char *text = platform_heartbeat_answer (&answer);

  CU_ASSERT_STRING_EQUAL (
      text, "{\"hold-ms\":2500,\"holds\":[[0,9,3,\"\"],[20,29,4,\"t\"]]}");
  g_free (text);
  answer.renews_grant = FALSE;
  text = platform_heartbeat_answer (&answer);
  CU_ASSERT_STRING_EQUAL (text, "{}");
  g_free (text);
}

/* Decoded records keep their offsets, also behind a malformed record.  */
static void
test_read (void)
{
  static const guint8 bytes[] = { 0, 0, 0, 0, 0, 0,   0,   9,
                                  0, 0, 0, 0, 0, 0,   0,   0, /* end, first */
                                  0, 0, 0, 4, 1, 'k', 'v', 'w', /* k: vw */
                                  0, 0, 0, 1, 7,                /* no key */
                                  0, 0, 0, 2, 1, 'l' }; /* l is deleted */
  struct store_result result = { .offset = 6 };
  GByteArray *body = g_byte_array_new ();
  const struct store_item *item;

  result.items = g_array_new (FALSE, TRUE, sizeof (struct store_item));
  g_byte_array_append (body, bytes, sizeof bytes);
  CU_ASSERT_EQUAL (store_decode_read (body, &result), ERR_NONE);
  CU_ASSERT_EQUAL (result.end_offset, 9);
  CU_ASSERT_EQUAL (result.offset, 9);
  CU_ASSERT_EQUAL_FATAL (result.items->len, 2);
  item = &g_array_index (result.items, struct store_item, 0);
  CU_ASSERT_STRING_EQUAL (item->key, "k");
  CU_ASSERT_EQUAL (item->offset, 6);
  CU_ASSERT_EQUAL (item->value_length, 2);
  item = &g_array_index (result.items, struct store_item, 1);
  CU_ASSERT_STRING_EQUAL (item->key, "l");
  CU_ASSERT_EQUAL (item->offset, 8);
  CU_ASSERT_EQUAL (item->value_length, 0);
  g_free (g_array_index (result.items, struct store_item, 0).key);
  g_free (g_array_index (result.items, struct store_item, 1).key);
  g_array_set_size (result.items, 0);
  g_byte_array_set_size (body, body->len - 1);
  result.offset = 6;
  CU_ASSERT_EQUAL (store_decode_read (body, &result), ERR_MALFORMED);
  g_free (g_array_index (result.items, struct store_item, 0).key);
  g_array_free (result.items, TRUE);
  g_byte_array_unref (body);
}

int
main (void)
{
  CU_TestInfo tests[]
      = { { "configuration", test_config },
          { "truncated configurations", test_truncated_config },
          { "heartbeat", test_heartbeat },
          { "malformed heartbeats", test_malformed_heartbeats },
          { "answers to heartbeats", test_answer },
          { "records", test_read },
          CU_TEST_INFO_NULL };

  return suite_run ("platform_read", tests);
}
