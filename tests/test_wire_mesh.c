#include "wire/wire_mesh.h"

#include "tests/suite.h"
#include "wire/wire.h"

#include <string.h>

/* Bytes of what a message ends with: the evacuated data centres, one of them;
   before them, the warm-up of the server; before it, the age and the source of
   the configuration and the claims of three duties; before it, the sequences
   in a message with one report.  */
#define EVACUATED_BYTES 20u
#define WARMUP_BYTES 4u
#define CONFIG_BYTES 76u
#define SEQUENCES_BYTES 16u

/* Encode a gossip message with one report.  */
static GByteArray *
encode_gossip (void)
{
  struct mesh_call call = { .kind = MESH_GOSSIP };
  struct gossip *gossip = &call.u.gossip;

  g_strlcpy (gossip->name, "a", sizeof gossip->name);
  gossip->incarnation = 7;
  gossip->applied_offset = 31;
  gossip->confirmed_age_usec = 1000;
  gossip->sequence = 12;
  gossip->config_confirmed_age_usec = 2000;
  gossip->config_source = 9;
  gossip->claims[READING_CONFIG_SPARE].reader = 14;
  gossip->claims[READING_CONFIG_SPARE].round = 15;
  gossip->claims[READING_CONFIG_SPARE].age_msec = 16;
  gossip->claims[READING_CONFIG_SPARE].given_up = TRUE;
  gossip->load.warmup_msec = 1700;
  gossip->evacuated.offset = 21;
  gossip->evacuated.count = 1;
  gossip->evacuated.names[0] = "z1";
  gossip->report_count = 1;
  gossip->reports[0].incarnation = 8;
  gossip->reports[0].age_msec = 300;
  gossip->reports[0].sequence = 13;
  return wire_encode (wire_mesh_call, &call, 65536);
}

/* A gossip message is the same after encoding and decoding.  */
static void
test_gossip (void)
{
  GByteArray *bytes = encode_gossip ();
  struct mesh_call decoded = { 0 };

  CU_ASSERT_EQUAL (
      wire_decode (wire_mesh_call, &decoded, bytes->data, bytes->len),
      ERR_NONE);
  CU_ASSERT_EQUAL (decoded.u.gossip.sequence, 12);
  CU_ASSERT_EQUAL (decoded.u.gossip.applied_offset, 31);
  CU_ASSERT_EQUAL (decoded.u.gossip.reports[0].age_msec, 300);
  CU_ASSERT_EQUAL (decoded.u.gossip.reports[0].sequence, 13);
  CU_ASSERT_EQUAL (decoded.u.gossip.config_confirmed_age_usec, 2000);
  CU_ASSERT_EQUAL (decoded.u.gossip.config_source, 9);
  CU_ASSERT_EQUAL (decoded.u.gossip.claims[READING_CONFIG_SPARE].reader, 14);
  CU_ASSERT_EQUAL (decoded.u.gossip.claims[READING_CONFIG_SPARE].round, 15);
  CU_ASSERT_EQUAL (decoded.u.gossip.claims[READING_CONFIG_SPARE].age_msec, 16);
  CU_ASSERT_TRUE (decoded.u.gossip.claims[READING_CONFIG_SPARE].given_up);
  CU_ASSERT_EQUAL (decoded.u.gossip.load.warmup_msec, 1700);
  CU_ASSERT_EQUAL (decoded.u.gossip.evacuated.offset, 21);
  CU_ASSERT_EQUAL (decoded.u.gossip.evacuated.count, 1);
  CU_ASSERT_STRING_EQUAL (decoded.u.gossip.evacuated.names[0], "z1");
  g_byte_array_unref (bytes);
}

/* A message of an older version, which ends before the evacuated data centres,
   before the warm-up, before the age of the configuration or before the
   sequences, is decoded without data centres, without a warm-up, without an
   age or with sequences of 0, and no other field is read wrongly.  */
static void
test_gossip_of_older_version (void)
{
  GByteArray *bytes = encode_gossip ();
  guint cut;

  for (cut = 1; cut <= EVACUATED_BYTES; cut++)
    {
      struct mesh_call decoded = { 0 };
      CU_ASSERT_EQUAL (wire_decode (wire_mesh_call, &decoded, bytes->data,
                                    bytes->len - cut),
                       ERR_NONE);
      CU_ASSERT_EQUAL (decoded.u.gossip.evacuated.offset, 0);
      CU_ASSERT_EQUAL (decoded.u.gossip.evacuated.count, 0);
      CU_ASSERT_EQUAL (decoded.u.gossip.load.warmup_msec, 1700);
      CU_ASSERT_EQUAL (decoded.u.gossip.sequence, 12);
      CU_ASSERT_EQUAL (decoded.u.gossip.config_confirmed_age_usec, 2000);
      CU_ASSERT_EQUAL (decoded.u.gossip.claims[READING_CONFIG_SPARE].round,
                       15);
    }
  for (; cut <= EVACUATED_BYTES + WARMUP_BYTES; cut++)
    {
      struct mesh_call decoded = { 0 };
      CU_ASSERT_EQUAL (wire_decode (wire_mesh_call, &decoded, bytes->data,
                                    bytes->len - cut),
                       ERR_NONE);
      CU_ASSERT_EQUAL (decoded.u.gossip.evacuated.offset, 0);
      CU_ASSERT_EQUAL (decoded.u.gossip.evacuated.count, 0);
      CU_ASSERT_EQUAL (decoded.u.gossip.load.warmup_msec, 0);
      CU_ASSERT_EQUAL (decoded.u.gossip.sequence, 12);
      CU_ASSERT_EQUAL (decoded.u.gossip.config_confirmed_age_usec, 2000);
      CU_ASSERT_EQUAL (decoded.u.gossip.claims[READING_CONFIG_SPARE].round,
                       15);
    }
  for (;
       cut <= EVACUATED_BYTES + WARMUP_BYTES + CONFIG_BYTES + SEQUENCES_BYTES;
       cut++)
    {
      gboolean has_sequences
          = cut <= EVACUATED_BYTES + WARMUP_BYTES + CONFIG_BYTES;
      struct mesh_call decoded = { 0 };
      CU_ASSERT_EQUAL (wire_decode (wire_mesh_call, &decoded, bytes->data,
                                    bytes->len - cut),
                       ERR_NONE);
      CU_ASSERT_EQUAL (decoded.u.gossip.evacuated.offset, 0);
      CU_ASSERT_EQUAL (decoded.u.gossip.evacuated.count, 0);
      CU_ASSERT_EQUAL (decoded.u.gossip.load.warmup_msec, 0);
      CU_ASSERT_EQUAL (decoded.u.gossip.sequence, has_sequences ? 12 : 0);
      CU_ASSERT_EQUAL (decoded.u.gossip.config_confirmed_age_usec, -1);
      CU_ASSERT_EQUAL (decoded.u.gossip.config_source, 0);
      CU_ASSERT_EQUAL (decoded.u.gossip.claims[READING_FLEET].reader, 0);
      CU_ASSERT_EQUAL (decoded.u.gossip.claims[READING_CONFIG_SPARE].reader,
                       0);
      CU_ASSERT_EQUAL (decoded.u.gossip.applied_offset, 31);
      CU_ASSERT_EQUAL (decoded.u.gossip.confirmed_age_usec, 1000);
      CU_ASSERT_EQUAL (decoded.u.gossip.reports[0].incarnation, 8);
      CU_ASSERT_EQUAL (decoded.u.gossip.reports[0].sequence,
                       has_sequences ? 13 : 0);
    }
  for (; cut < bytes->len; cut++)
    {
      struct mesh_call decoded = { 0 };
      CU_ASSERT_EQUAL (wire_decode (wire_mesh_call, &decoded, bytes->data,
                                    bytes->len - cut),
                       ERR_MALFORMED);
    }
  g_byte_array_unref (bytes);
}

/* The reply to a fetch is the same after encoding and decoding; those of older
   versions end before the length of a configuration that is not compressed,
   and before the offset of the operator's topic.  */
static void
test_fetch_reply (void)
{
  struct mesh_reply reply = { .kind = MESH_FETCH };
  struct mesh_reply decoded = { 0 };
  struct mesh_reply older = { 0 };
  guint8 bytes_of_config[] = { 1, 2, 3, 4 };
  GByteArray *bytes;

  reply.u.fetch.next_offset = 7;
  reply.u.fetch.config_version = 8;
  reply.u.fetch.config_bytes = bytes_of_config;
  reply.u.fetch.config_length = sizeof bytes_of_config;
  reply.u.fetch.config_next_offset = 9;
  reply.u.fetch.config_plain_length = 11;
  bytes = wire_encode (wire_mesh_reply, &reply, 65536);
  CU_ASSERT_EQUAL (
      wire_decode (wire_mesh_reply, &decoded, bytes->data, bytes->len),
      ERR_NONE);
  CU_ASSERT_EQUAL (decoded.u.fetch.config_next_offset, 9);
  CU_ASSERT_EQUAL (decoded.u.fetch.config_plain_length, 11);
  CU_ASSERT_EQUAL (
      wire_decode (wire_mesh_reply, &older, bytes->data, bytes->len - 4),
      ERR_NONE);
  CU_ASSERT_EQUAL (older.u.fetch.config_next_offset, 9);
  CU_ASSERT_EQUAL (older.u.fetch.config_plain_length, 0);
  xdr_free ((xdrproc_t)wire_mesh_reply, (char *)&older);
  memset (&older, 0, sizeof older);
  CU_ASSERT_EQUAL (
      wire_decode (wire_mesh_reply, &older, bytes->data, bytes->len - 12),
      ERR_NONE);
  CU_ASSERT_EQUAL (older.u.fetch.config_next_offset, 0);
  CU_ASSERT_EQUAL (older.u.fetch.config_version, 8);
  xdr_free ((xdrproc_t)wire_mesh_reply, (char *)&decoded);
  xdr_free ((xdrproc_t)wire_mesh_reply, (char *)&older);
  g_byte_array_unref (bytes);
}

/* A fetch is the same after encoding and decoding; those of older versions end
   before what they do not know.  */
static void
test_fetch (void)
{
  struct mesh_call call = { .kind = MESH_FETCH };
  struct mesh_call decoded = { 0 };
  GByteArray *bytes;

  call.u.fetch.config_version = 8;
  call.u.fetch.accepts_patches = TRUE;
  call.u.fetch.accepts_deflate = TRUE;
  bytes = wire_encode (wire_mesh_call, &call, 65536);
  CU_ASSERT_EQUAL (
      wire_decode (wire_mesh_call, &decoded, bytes->data, bytes->len),
      ERR_NONE);
  CU_ASSERT_TRUE (decoded.u.fetch.accepts_deflate);
  CU_ASSERT_EQUAL (
      wire_decode (wire_mesh_call, &decoded, bytes->data, bytes->len - 4),
      ERR_NONE);
  CU_ASSERT_TRUE (decoded.u.fetch.accepts_patches);
  CU_ASSERT_FALSE (decoded.u.fetch.accepts_deflate);
  CU_ASSERT_EQUAL (
      wire_decode (wire_mesh_call, &decoded, bytes->data, bytes->len - 8),
      ERR_NONE);
  CU_ASSERT_FALSE (decoded.u.fetch.accepts_patches);
  CU_ASSERT_FALSE (decoded.u.fetch.accepts_deflate);
  g_byte_array_unref (bytes);
}

int
main (void)
{
  CU_TestInfo tests[]
      = { { "gossip", test_gossip },
          { "gossip of an older version", test_gossip_of_older_version },
          { "reply to a fetch", test_fetch_reply },
          { "fetch", test_fetch },
          CU_TEST_INFO_NULL };

  return suite_run ("wire_mesh", tests);
}
