#include "mesh/mesh_parts.h"
#include "platform/config.h"
#include "tests/config_text.h"
#include "tests/mesh_node_stage.h"
#include "wire/wire_mesh.h"

/* What a node does with what it reads of the operator's topic, itself or
   through another node.  */

/* Have the node read a configuration of LENGTH BYTES at the end of the
   operator's topic.  Return whether that shows that the one in force is the
   newest.  */
static gboolean
read_confirms (struct stage *stage, const char *bytes, gsize length)
{
  struct store_item item = { .key = (char *)PLATFORM_CONFIG_KEY,
                             .value = (const guint8 *)bytes,
                             .value_length = length };
  struct topic_reader_event read
      = { .items = &item,
          .item_count = length > 0 ? 1 : 0,
          .at_end = TRUE,
          .started_at
          = stage->node.mesh.freshness[MESH_TOPIC_CONFIG].confirmed_at + 1 };

  mesh_node_on_config (&read, &stage->node);
  return stage->node.mesh.freshness[MESH_TOPIC_CONFIG].confirmed_at
         == read.started_at;
}

/* Guards against a route that is denied by an old configuration, since the
   newest one could not be read.  */
static void
test_malformed_config (void)
{
  static const char malformed[] = "{\"version\":";
  struct stage stage;

  stage_init (&stage);
  CU_ASSERT_TRUE (read_confirms (&stage, NULL, 0));
  CU_ASSERT_FALSE (read_confirms (&stage, malformed, strlen (malformed)));
  CU_ASSERT_FALSE (read_confirms (&stage, NULL, 0));
  stage_clear (&stage);
}

/* Pass a reply to a fetch to the node: the other node knows the operator's
   topic up to the offset END, and sends LENGTH BYTES as a configuration.
   Return the offset from which the node reads on.  */
static guint64
offset_after_fetch (struct stage *stage, guint64 end, const char *bytes,
                    guint32 length)
{
  struct mesh_reply reply = { .kind = MESH_FETCH };
  struct link_event event
      = { .kind = LINK_REPLY, .procedure = RPC_MESH, .code = ERR_NONE };
  GByteArray *encoded;

  reply.u.fetch.config_next_offset = end;
  reply.u.fetch.config_version = length > 0 ? 2 : 0;
  reply.u.fetch.config_bytes = (guint8 *)bytes;
  reply.u.fetch.config_length = length;
  encoded = wire_encode (wire_mesh_reply, &reply, 65536);
  event.bytes = encoded->data;
  event.length = encoded->len;
  event.tag.user_value = MESH_FETCH;
  mesh_node_on_link (&event, &stage->node);
  g_byte_array_unref (encoded);
  return stage->node.config_reader.next_offset;
}

/* Guards against a version that is passed over: a reply that brings no
   configuration, or a malformed one, does not move the offset from which the
   node reads the operator's topic.  */
static void
test_offset_without_config (void)
{
  struct stage stage;

  stage_init (&stage);
  stage.node.config_reader.phase = TOPIC_READER_TAIL;
  stage.node.config_reader.next_offset = 3;
  CU_ASSERT_EQUAL (offset_after_fetch (&stage, 9, NULL, 0), 3);
  CU_ASSERT_EQUAL (offset_after_fetch (&stage, 9, "{", 1), 3);
  stage_clear (&stage);
}

/* Guards against an evacuation that is passed over with a fetched
   configuration: the node reads on from where its evacuations end.  */
static void
test_offset_with_evacuations (void)
{
  static const char config[]
      = "{\"version\":\"r2\",\"services\":{\"columns\":[\"name\"],\"rows\":"
        "[]},\"routes\":{\"columns\":[\"name\",\"host\",\"path-prefix\"],"
        "\"rows\":[]}}";
  struct stage stage;

  stage_init (&stage);
  stage.node.config_reader.phase = TOPIC_READER_TAIL;
  stage.node.config_reader.next_offset = 3;
  stage.node.mesh.evacuations.zones.offset = 5;
  CU_ASSERT_EQUAL (
      offset_after_fetch (&stage, 9, config, (guint32)strlen (config)), 5);
  CU_ASSERT_EQUAL (stage.node.mesh.routing->version, 2);
  stage_clear (&stage);
}

/* Initialize STAGE, whose node has read version 2 with COUNT routes.  Return
   the length of its text.  */
static gsize
stage_with_routes (struct stage *stage, guint count)
{
  GString *text = config_text (count);
  gsize length = text->len;

  stage_init (stage);
  CU_ASSERT_TRUE (mesh_node_apply_config (
      &stage->node, (const guint8 *)text->str, length, 0));
  g_string_free (text, TRUE);
  return length;
}

/* Return what NODE tells of its configuration in the reply to a fetch.  */
static struct mesh_fetch_reply
fill_reply (struct mesh_node *node, gboolean accepts_deflate)
{
  struct mesh_fetch_reply reply = { 0 };

  mesh_node_fill_config (node, &reply, accepts_deflate);
  return reply;
}

/* Guards against long versions that come into force late: a configuration is
   sent compressed, except to nodes that do not understand it, and a node that
   took it sends it on.  */
static void
test_compressed_config (void)
{
  gsize length;
  struct mesh_fetch_reply reply;
  struct stage stage;
  struct stage other;

  length = stage_with_routes (&stage, 1400);
  stage_init (&other);
  reply = fill_reply (&stage.node, FALSE);
  CU_ASSERT_EQUAL (reply.config_length, length);
  CU_ASSERT_EQUAL (reply.config_plain_length, 0);
  reply = fill_reply (&stage.node, TRUE);
  CU_ASSERT_EQUAL (reply.config_version, 2);
  CU_ASSERT_TRUE (reply.config_length < length / 2);
  CU_ASSERT_EQUAL (reply.config_plain_length, length);
  CU_ASSERT_TRUE (mesh_node_take_config (&other.node, &reply));
  CU_ASSERT_EQUAL (mesh_routing_version (&other.node.mesh), 2);
  CU_ASSERT_EQUAL (fill_reply (&other.node, FALSE).config_length, length);
  stage_clear (&other);
  stage_clear (&stage);
}

/* Guards against bytes of another node that are believed: of another version
   or length than the reply says, or cut off.  The configuration in force
   stays.  */
static void
test_false_compressed_config (void)
{
  struct mesh_fetch_reply reply;
  struct stage stage;
  struct stage other;
  guint i;

  stage_with_routes (&stage, 1400);
  stage_init (&other);
  for (i = 0; i < 4; i++)
    {
      reply = fill_reply (&stage.node, TRUE);
      reply.config_version += i == 0;
      reply.config_plain_length += i == 1;
      reply.config_length -= i == 2;
      if (i == 3)
        reply.config_plain_length = MESH_CONFIG_BYTES_MAX + 1;
      CU_ASSERT_FALSE (mesh_node_take_config (&other.node, &reply));
    }
  CU_ASSERT_EQUAL (mesh_routing_version (&other.node.mesh), 1);
  stage_clear (&other);
  stage_clear (&stage);
}

/* Guards against a node that gets no records from another one since the
   configuration there is too long for a reply: it is left out.  */
static void
test_config_too_long (void)
{
  struct stage stage;

  CU_ASSERT_TRUE (stage_with_routes (&stage, 16000) > MESH_BLOB_BYTES_MAX);
  CU_ASSERT_EQUAL (fill_reply (&stage.node, FALSE).config_version, 0);
  CU_ASSERT_EQUAL (stage.node.oversize_configs, 1);
  CU_ASSERT_EQUAL (fill_reply (&stage.node, TRUE).config_version, 2);
  stage_clear (&stage);
}

/* Have the node read a record with KEY of the operator's topic, as READ
   says.  */
static void
read_record (struct stage *stage, const char *key,
             const struct topic_reader_event *read)
{
  struct store_item item = { .key = (char *)key,
                             .value = (const guint8 *)"{}",
                             .value_length = 2 };
  struct topic_reader_event event = *read;

  event.items = &item;
  event.item_count = 1;
  mesh_node_on_config (&event, &stage->node);
}

/* Guards against an evacuation that is ended by a part of a listing that does
   not name it, or by another read that ends between two parts.  */
static void
test_listing_in_parts (void)
{
  const struct topic_reader_event first
      = { .is_listing = TRUE, .is_first = TRUE };
  const struct topic_reader_event last
      = { .is_listing = TRUE, .next_offset = 9, .at_end = TRUE };
  const struct topic_reader_event tail = { .next_offset = 4 };
  const struct evacuations *evacuations;
  struct stage stage;

  stage_init (&stage);
  evacuations = &stage.node.mesh.evacuations;
  read_record (&stage, "evacuate/z1", &first);
  CU_ASSERT_EQUAL (evacuations->zones.count, 0);
  read_record (&stage, "evacuate/z2", &tail);
  CU_ASSERT_TRUE (evacuations_include (evacuations, "z2"));
  read_record (&stage, "evacuate/z3", &last);
  CU_ASSERT_TRUE (evacuations_include (evacuations, "z1"));
  CU_ASSERT_FALSE (evacuations_include (evacuations, "z2"));
  CU_ASSERT_TRUE (evacuations_include (evacuations, "z3"));
  stage_clear (&stage);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "malformed configuration", test_malformed_config },
          { "fetch without a configuration", test_offset_without_config },
          { "offset with evacuations", test_offset_with_evacuations },
          { "listing in parts", test_listing_in_parts },
          { "compressed configuration", test_compressed_config },
          { "false compressed configuration", test_false_compressed_config },
          { "configuration too long", test_config_too_long },
          CU_TEST_INFO_NULL };

  return suite_run ("mesh_node_topics", tests);
}
