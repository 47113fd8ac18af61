#include "tests/slice_setup.h"
#include "tests/suite.h"

#include "decide/slice.h"

/* Find a key that hashes to slice 0.  */
static const char *
key_of_first (const struct view_service *service)
{
  static char key[KEY_SIZE];
  guint i = 0;

  do
    g_snprintf (key, sizeof key, "k%u", i++);
  while (slice_of_key (service, key) != 0);
  return key;
}

/* A hot key gets a slice that is owned as the hashed one, moves by itself,
   and is dropped only when both are owned alike again.  */
static void
test_hot (void)
{
  struct setting setting;
  const char *key;
  const struct view_slice *hot;
  guint64 made;
  guint64 move;

  setting_init (&setting);
  key = key_of_first (setting.menu);
  made = make_apply (&setting.view,
                     make_hot (key, FALSE, setting.slice->epoch));
  setting.slice = view_slice_at (setting.menu, 0);
  CU_ASSERT_EQUAL (slice_of_key (setting.menu, key), MAKE_SLICES);
  hot = view_slice_at (setting.menu, MAKE_SLICES);
  CU_ASSERT_PTR_NOT_NULL_FATAL (hot);
  if (hot == NULL)
    return;
  CU_ASSERT_TRUE (handle_equal (hot->owner, setting.slice->owner));
  CU_ASSERT_EQUAL (hot->epoch, made);
  move = make_apply (&setting.view,
                     make_slice (RECORD_MOVE, MAKE_SLICES, made, 4, 2, 3));
  make_apply (&setting.view, make_hot (key, TRUE, made));
  CU_ASSERT_EQUAL (slice_of_key (setting.menu, key), MAKE_SLICES);
  made = make_apply (&setting.view,
                     make_slice (RECORD_MOVED, MAKE_SLICES, move, 4, 0, 0));
  CU_ASSERT_EQUAL (view_incarnation (&setting.view, hot->owner), 4);
  make_apply (&setting.view, make_hot (key, TRUE, made));
  CU_ASSERT_EQUAL (slice_of_key (setting.menu, key), MAKE_SLICES);
  view_clear (&setting.view);
}

/* Dropping a hot key raises the epoch of its hashed slice, so that fences of
   the key do not go down, and frees the place.  */
static void
test_hot_drop (void)
{
  struct setting setting;
  const char *key;
  guint64 made;
  guint64 dropped;

  setting_init (&setting);
  key = key_of_first (setting.menu);
  made = make_apply (&setting.view,
                     make_hot (key, FALSE, setting.slice->epoch));
  dropped = make_apply (&setting.view, make_hot (key, TRUE, made));
  setting.slice = view_slice_at (setting.menu, 0);
  CU_ASSERT_EQUAL (slice_of_key (setting.menu, key), 0);
  CU_ASSERT_EQUAL (setting.slice->epoch, dropped);
  CU_ASSERT_EQUAL (owner (&setting), 1);
  made = make_apply (&setting.view, make_hot (key, FALSE, dropped));
  CU_ASSERT_EQUAL (slice_of_key (setting.menu, key), MAKE_SLICES);
  CU_ASSERT_EQUAL (view_slice_at (setting.menu, MAKE_SLICES)->epoch, made);
  view_clear (&setting.view);
}

/* No hot key is made while its slice is pending a move or under an epoch that
   is not the expected one.  */
static void
test_hot_refused (void)
{
  struct setting setting;
  const char *key;

  setting_init (&setting);
  key = key_of_first (setting.menu);
  make_apply (&setting.view, make_hot (key, FALSE, setting.slice->epoch + 1));
  CU_ASSERT_EQUAL (slice_of_key (setting.menu, key), 0);
  begin_move (&setting);
  make_apply (&setting.view, make_hot (key, FALSE, setting.slice->epoch));
  CU_ASSERT_EQUAL (slice_of_key (setting.menu, key), 0);
  view_clear (&setting.view);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "hot", test_hot },
                                 { "hot drop", test_hot_drop },
                                 { "hot refused", test_hot_refused },
                                 CU_TEST_INFO_NULL };

  return suite_run ("fold_hot", tests);
}
