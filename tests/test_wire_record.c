#include "tests/suite.h"
#include "wire/wire_record.h"

#include <string.h>

/* Fill in a record of KIND with something in every part that has a size.  */
static void
fill (struct record *record, enum record_kind kind)
{
  static struct record_slice items[2]
      = { { 1, 10, 100, { 101, 102 } }, { 2, 20, 200, { 201, 0 } } };

  memset (record, 0, sizeof *record);
  record->version = RECORD_VERSION;
  record->kind = kind;
  record->writer = 77;
  record->serial = 78;
  switch (kind)
    {
    case RECORD_CONFIG:
      record->body.config.text = (char *)"[place a]\n";
      record->body.config.base_offset = 5;
      break;
    case RECORD_JOIN:
      record->body.join.incarnation = 9;
      record->body.join.peer_address.port = 4242;
      g_strlcpy (record->body.join.host, "h", NAME_SIZE);
      break;
    case RECORD_WITNESS_SET:
      record->body.witness_set.witness_count = 2;
      record->body.witness_set.witnesses[1] = 8;
      break;
    case RECORD_ASSIGN:
    case RECORD_MOVE:
    case RECORD_MOVED:
    case RECORD_SUCCESSOR:
      g_strlcpy (record->body.slices.service, "s", NAME_SIZE);
      record->body.slices.count = 2;
      record->body.slices.items = items;
      break;
    case RECORD_SNAPSHOT:
      record->body.snapshot.length = 3;
      record->body.snapshot.bytes = (guint8 *)"abc";
      break;
    case RECORD_HOT_KEY:
      g_strlcpy (record->body.hot_key.key, "k", KEY_SIZE);
      break;
    case RECORD_LEAVING:
    case RECORD_REMOVED:
    case RECORD_SUSPECT:
      break;
    }
}

/* Every kind comes back as it went, and no part of it decodes.  */
static void
test_kinds (void)
{
  int kind;

  for (kind = RECORD_CONFIG; kind <= RECORD_SUCCESSOR; kind++)
    {
      struct record record;
      struct record back;
      GByteArray *bytes;
      GByteArray *again;
      guint length;
      fill (&record, (enum record_kind)kind);
      bytes = record_encode (&record);
      CU_ASSERT_EQUAL (record_decode (&back, bytes->data, bytes->len),
                       ERR_NONE);
      again = record_encode (&back);
      CU_ASSERT_EQUAL (again->len, bytes->len);
      CU_ASSERT_EQUAL (memcmp (again->data, bytes->data, bytes->len), 0);
      record_clear (&back);
      for (length = 0; length < bytes->len; length++)
        CU_ASSERT_EQUAL (record_decode (&back, bytes->data, length),
                         ERR_MALFORMED);
      g_byte_array_unref (bytes);
      g_byte_array_unref (again);
    }
}

/* A record of a later version keeps its header and has no body.  */
static void
test_later_version (void)
{
  struct record record;
  struct record back;
  GByteArray *bytes;

  fill (&record, RECORD_JOIN);
  record.version = RECORD_VERSION + 1;
  bytes = record_encode (&record);
  CU_ASSERT_EQUAL (record_decode (&back, bytes->data, bytes->len), ERR_NONE);
  CU_ASSERT_EQUAL (back.version, RECORD_VERSION + 1);
  CU_ASSERT_EQUAL (back.writer, 77);
  g_byte_array_unref (bytes);
}

/* A bad record in a batch keeps its offset and does not stop the rest.  */
static void
test_batch (void)
{
  GArray *entries = g_array_new (FALSE, FALSE, sizeof (struct log_entry));
  GByteArray *batch = g_byte_array_new ();
  struct record record;
  GByteArray *bytes;

  fill (&record, RECORD_LEAVING);
  bytes = record_encode (&record);
  record_append_frame (batch, 4, (const guint8 *)"??", 2);
  record_append_frame (batch, 5, bytes->data, bytes->len);
  CU_ASSERT_EQUAL (record_decode_frames (entries, batch->data, batch->len),
                   ERR_NONE);
  CU_ASSERT_EQUAL_FATAL (entries->len, 2);
  CU_ASSERT_EQUAL (g_array_index (entries, struct log_entry, 0).record.version,
                   RECORD_VERSION_MALFORMED);
  CU_ASSERT_EQUAL (g_array_index (entries, struct log_entry, 1).offset, 5);
  log_entries_clear (entries);
  CU_ASSERT_EQUAL (record_decode_frames (entries, batch->data, batch->len - 1),
                   ERR_MALFORMED);
  log_entries_clear (entries);
  g_array_free (entries, TRUE);
  g_byte_array_unref (batch);
  g_byte_array_unref (bytes);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "kinds", test_kinds },
                                 { "later version", test_later_version },
                                 { "batch", test_batch },
                                 CU_TEST_INFO_NULL };

  return suite_run ("wire_record", tests);
}
