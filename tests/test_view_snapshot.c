#include "decide/slice.h"
#include "tests/fixture.h"
#include "tests/suite.h"
#include "wire/wire_view.h"

/* Encode VIEW and decode it into DECODED.  */
static void
encode_and_decode (const struct view *view, struct view *decoded)
{
  GByteArray *bytes = view_encode (view);

  view_init (decoded);
  CU_ASSERT_PTR_NOT_NULL_FATAL (bytes);
  if (bytes == NULL)
    return;
  view_clear (decoded);
  CU_ASSERT_EQUAL (view_decode (decoded, bytes->data, bytes->len), ERR_NONE);
  g_byte_array_unref (bytes);
}

/* A decoded view equals the original, object by object.  */
static void
test_round_trip (void)
{
  struct view view;
  struct view decoded;
  const struct view_slice *slice;

  fixture_view (&view);
  encode_and_decode (&view, &decoded);
  CU_ASSERT_EQUAL (view_digest (&view), view_digest (&decoded));
  CU_ASSERT_EQUAL (decoded.applied_offset, view.applied_offset);
  CU_ASSERT_STRING_EQUAL (decoded.config_text, FIXTURE_CONFIG);
  CU_ASSERT_EQUAL (decoded.nodes.count, 3);
  CU_ASSERT_TRUE (view_was_removed (&decoded, 3));
  slice = view_slice_at (view_find_service (&decoded, "menu"), 1);
  CU_ASSERT_EQUAL (view_incarnation (&decoded, slice->owner), 2);
  CU_ASSERT_EQUAL (view_incarnation (&decoded, slice->receiver), 4);
  CU_ASSERT_EQUAL (view_incarnation (&decoded, slice->next_successors[0]), 1);
  CU_ASSERT_EQUAL (view_node_at (&decoded, slice->owner)->owned_slice_count,
                   1);
  view_clear (&view);
  view_clear (&decoded);
}

/* A decoded view and its original stay equal while the same records are
   applied to both, even if a row in the table of nodes is reused.  */
static void
test_equal_afterwards (void)
{
  struct view view;
  struct view decoded;

  fixture_view (&view);
  encode_and_decode (&view, &decoded);
  fixture_join (&view, 5);
  fixture_join (&decoded, 5);
  fixture_slice (&view, RECORD_MOVED, 1, 8, 4, 0);
  fixture_slice (&decoded, RECORD_MOVED, 1, 8, 4, 0);
  fixture_removed (&view, 1);
  fixture_removed (&decoded, 1);
  CU_ASSERT_EQUAL (view_digest (&view), view_digest (&decoded));
  fixture_removed (&decoded, 2);
  CU_ASSERT_NOT_EQUAL (view_digest (&view), view_digest (&decoded));
  view_clear (&view);
  view_clear (&decoded);
}

/* A removed node leaves no handle as successor.  After the generations have
   wrapped around, such a handle would refer to the next node in the same
   row.  */
static void
test_no_stale_successor (void)
{
  struct view view;
  guint64 i;

  fixture_view (&view);
  for (i = 100; i < 100 + HANDLE_GENERATION_MASK + 2; i++)
    {
      const struct view_slice *slice
          = view_slice_at (view_find_service (&view, "menu"), 0);
      fixture_join (&view, i);
      CU_ASSERT_EQUAL (view_incarnation (&view, slice->successors[0]), 0);
      fixture_removed (&view, i);
    }
  view_clear (&view);
}

/* Hot keys and their slices survive encoding, also after a hot key has lost
   its slice.  */
static void
test_hot_keys (void)
{
  static const char *const keys[] = { "corner-7", "corner-8", "corner-9" };
  const struct view_service *service;
  struct view view;
  struct view decoded;
  guint i;

  fixture_view (&view);
  service = view_find_service (&view, "menu");
  for (i = 0; i < 8; i++)
    if (view_node_at (&view, view_slice_at (service, i)->owner) == NULL)
      fixture_slice (&view, RECORD_ASSIGN, i,
                     view_slice_at (service, i)->epoch, 1, 2);
  for (i = 0; i < G_N_ELEMENTS (keys); i++)
    fixture_hot (&view, keys[i], FALSE);
  CU_ASSERT_TRUE (g_hash_table_size (service->slice_by_hot_key) > 1);
  fixture_hot (&view, keys[0], TRUE);
  encode_and_decode (&view, &decoded);
  CU_ASSERT_EQUAL (view_digest (&view), view_digest (&decoded));
  CU_ASSERT_EQUAL (g_hash_table_size (
                       view_find_service (&decoded, "menu")->slice_by_hot_key),
                   g_hash_table_size (service->slice_by_hot_key));
  for (i = 0; i < G_N_ELEMENTS (keys); i++)
    CU_ASSERT_EQUAL (
        slice_of_key (service, keys[i]),
        slice_of_key (view_find_service (&decoded, "menu"), keys[i]));
  view_clear (&view);
  view_clear (&decoded);
}

/* Truncated bytes cannot be decoded, wherever they are cut.  */
static void
test_cut_short (void)
{
  struct view view;
  struct view decoded;
  GByteArray *bytes;
  guint length;

  fixture_view (&view);
  bytes = view_encode (&view);
  for (length = 0; length < bytes->len; length += 4)
    {
      CU_ASSERT_EQUAL (view_decode (&decoded, bytes->data, length),
                       ERR_MALFORMED);
      view_clear (&decoded);
    }
  g_byte_array_unref (bytes);
  view_clear (&view);
}

/* A view that is replaced by a snapshot equals the snapshot.  A node in both
   keeps its handle, and handles of removed nodes find nothing.  */
static void
test_replace (void)
{
  struct view view;
  struct view later;
  struct view fresh;
  struct handle second;
  struct handle first;

  fixture_view (&view);
  first = view_find_node (&view, 1);
  second = view_find_node (&view, 2);
  fixture_view (&later);
  fixture_removed (&later, 1);
  fixture_join (&later, 9);
  encode_and_decode (&later, &fresh);
  view_replace (&view, &fresh);
  CU_ASSERT_EQUAL (view_digest (&view), view_digest (&later));
  CU_ASSERT_TRUE (handle_equal (view_find_node (&view, 2), second));
  CU_ASSERT_PTR_NULL (view_node_at (&view, first));
  CU_ASSERT_TRUE (handle_is_set (view_find_node (&view, 9)));
  fixture_join (&view, 10);
  fixture_join (&later, 10);
  CU_ASSERT_EQUAL (view_digest (&view), view_digest (&later));
  view_clear (&view);
  view_clear (&later);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "round trip", test_round_trip },
          { "equal afterwards", test_equal_afterwards },
          { "no stale successor", test_no_stale_successor },
          { "hot keys", test_hot_keys },
          { "cut short", test_cut_short },
          { "replace", test_replace },
          CU_TEST_INFO_NULL };

  return suite_run ("view_snapshot", tests);
}
