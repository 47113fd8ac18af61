#include "decide/slice.h"
#include "tests/fixture.h"
#include "tests/suite.h"
#include "wire/wire_view.h"

/* Encode VIEW and decode it into BACK.  */
static void
round_trip (const struct view *view, struct view *back)
{
  GByteArray *bytes = view_encode (view);

  view_init (back);
  CU_ASSERT_PTR_NOT_NULL_FATAL (bytes);
  if (bytes == NULL)
    return;
  view_clear (back);
  CU_ASSERT_EQUAL (view_decode (back, bytes->data, bytes->len), ERR_NONE);
  g_byte_array_unref (bytes);
}

/* A decoded view equals the folded one, object by object.  */
static void
test_round_trip (void)
{
  struct view view;
  struct view back;
  const struct view_slice *slice;

  fixture_view (&view);
  round_trip (&view, &back);
  CU_ASSERT_EQUAL (view_digest (&view), view_digest (&back));
  CU_ASSERT_EQUAL (back.applied_offset, view.applied_offset);
  CU_ASSERT_STRING_EQUAL (back.config_text, FIXTURE_CONFIG);
  CU_ASSERT_EQUAL (back.nodes.count, 3);
  CU_ASSERT_TRUE (view_was_removed (&back, 3));
  slice = view_slice_at (view_find_service (&back, "menu"), 1);
  CU_ASSERT_EQUAL (view_incarnation (&back, slice->owner), 2);
  CU_ASSERT_EQUAL (view_incarnation (&back, slice->receiver), 4);
  CU_ASSERT_EQUAL (view_incarnation (&back, slice->next_successors[0]), 1);
  CU_ASSERT_EQUAL (view_node_at (&back, slice->owner)->owned_slice_count, 1);
  view_clear (&view);
  view_clear (&back);
}

/* A decoded view and the folded one stay equal as both fold on, also where a
   row of the table of nodes is used again.  */
static void
test_equal_afterwards (void)
{
  struct view view;
  struct view back;

  fixture_view (&view);
  round_trip (&view, &back);
  fixture_join (&view, 5);
  fixture_join (&back, 5);
  fixture_slice (&view, RECORD_MOVED, 1, 8, 4, 0);
  fixture_slice (&back, RECORD_MOVED, 1, 8, 4, 0);
  fixture_removed (&view, 1);
  fixture_removed (&back, 1);
  CU_ASSERT_EQUAL (view_digest (&view), view_digest (&back));
  fixture_removed (&back, 2);
  CU_ASSERT_NOT_EQUAL (view_digest (&view), view_digest (&back));
  view_clear (&view);
  view_clear (&back);
}

/* A node that was a successor and is out leaves no handle that the next node
   in its row would bear after the generations have come round.  */
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

/* Hot keys, also one that was given back, come through with their slices.  */
static void
test_hot_keys (void)
{
  static const char *const keys[] = { "corner-7", "corner-8", "corner-9" };
  const struct view_service *service;
  struct view view;
  struct view back;
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
  round_trip (&view, &back);
  CU_ASSERT_EQUAL (view_digest (&view), view_digest (&back));
  CU_ASSERT_EQUAL (
      g_hash_table_size (view_find_service (&back, "menu")->slice_by_hot_key),
      g_hash_table_size (service->slice_by_hot_key));
  for (i = 0; i < G_N_ELEMENTS (keys); i++)
    CU_ASSERT_EQUAL (
        slice_of_key (service, keys[i]),
        slice_of_key (view_find_service (&back, "menu"), keys[i]));
  view_clear (&view);
  view_clear (&back);
}

/* Bytes that are cut short do not decode, wherever they are cut.  */
static void
test_cut_short (void)
{
  struct view view;
  struct view back;
  GByteArray *bytes;
  guint length;

  fixture_view (&view);
  bytes = view_encode (&view);
  for (length = 0; length < bytes->len; length += 4)
    {
      CU_ASSERT_EQUAL (view_decode (&back, bytes->data, length),
                       ERR_MALFORMED);
      view_clear (&back);
    }
  g_byte_array_unref (bytes);
  view_clear (&view);
}

/* A view that adopts a snapshot equals it; a node in both keeps its handle,
   and handles of nodes that are gone find nothing.  */
static void
test_adopt (void)
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
  round_trip (&later, &fresh);
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
          { "adopt", test_adopt },
          CU_TEST_INFO_NULL };

  return suite_run ("view_snapshot", tests);
}
