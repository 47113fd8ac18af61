#include "edge/tail_store.h"
#include "tests/suite.h"
#include "wire/wire_record.h"

#include <string.h>

#define BIG_BYTES 100000u /* bytes of a large record */

/* Add COUNT records of LENGTH bytes from offset FIRST on to STORE.  */
static void
add (struct tail_store *store, guint64 first, guint count, guint32 length)
{
  GByteArray *batch = g_byte_array_new ();
  guint8 *record = g_malloc0 (length);
  guint i;

  for (i = 0; i < count; i++)
    record_append_frame (batch, first + i, record, length);
  tail_store_add (store, batch->data, batch->len);
  g_free (record);
  g_byte_array_unref (batch);
}

/* Read from FROM on; return how many records came, -1 if they are gone, and
   check that they are in order.  */
static gint
read_from (const struct tail_store *store, guint64 from)
{
  GArray *entries = g_array_new (FALSE, FALSE, sizeof (struct log_entry));
  GByteArray *bytes = g_byte_array_new ();
  gint count = -1;
  guint i;

  if (tail_store_read (store, from, bytes) == ERR_NONE)
    {
      CU_ASSERT_EQUAL (record_decode_frames (entries, bytes->data, bytes->len),
                       ERR_NONE);
      count = (gint)entries->len;
    }
  for (i = 0; i < entries->len; i++)
    CU_ASSERT_EQUAL (g_array_index (entries, struct log_entry, i).offset,
                     from + i);
  log_entries_clear (entries);
  g_array_free (entries, TRUE);
  g_byte_array_unref (bytes);
  return count;
}

/* What was added is read from any offset on; repeats are passed over.  */
static void
test_add_and_read (void)
{
  struct tail_store store;

  tail_store_init (&store);
  CU_ASSERT_EQUAL (read_from (&store, 1), 0);
  add (&store, 5, 4, 10);
  add (&store, 7, 4, 10);
  CU_ASSERT_EQUAL (read_from (&store, 4), -1);
  CU_ASSERT_EQUAL (read_from (&store, 5), 6);
  CU_ASSERT_EQUAL (read_from (&store, 10), 1);
  CU_ASSERT_EQUAL (read_from (&store, 11), 0);
  tail_store_clear (&store);
}

/* After a hole the store begins anew, so that no reader misses records.  */
static void
test_hole (void)
{
  struct tail_store store;

  tail_store_init (&store);
  add (&store, 5, 4, 10);
  add (&store, 20, 2, 10);
  CU_ASSERT_EQUAL (read_from (&store, 8), -1);
  CU_ASSERT_EQUAL (read_from (&store, 9), -1);
  CU_ASSERT_EQUAL (read_from (&store, 20), 2);
  tail_store_clear (&store);
}

/* The store is bounded, and so is one reply.  */
static void
test_bounds (void)
{
  struct tail_store store;

  tail_store_init (&store);
  add (&store, 1, 30, BIG_BYTES);
  CU_ASSERT_TRUE (store.total_bytes <= 1048576u);
  CU_ASSERT_EQUAL (store.next_offset, 31);
  CU_ASSERT_EQUAL (read_from (&store, 1), -1);
  CU_ASSERT_EQUAL (read_from (&store, store.first_offset), 5);
  tail_store_clear (&store);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "add and read", test_add_and_read },
                                 { "hole", test_hole },
                                 { "bounds", test_bounds },
                                 CU_TEST_INFO_NULL };

  return suite_run ("tail_store", tests);
}
