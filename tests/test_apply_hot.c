#include "tests/slice_setup.h"
#include "tests/suite.h"

#include "decide/slice.h"

/* Return a key that hashes to slice 0.  */
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

/* A hot key gets a slice with the owner of the slice it hashes to.  Its slice
   moves independently, and is dropped only when both have the same owner and
   successors again.  */
static void
test_hot (void)
{
  struct setup setup;
  const char *key;
  const struct view_slice *hot;
  guint64 created;
  guint64 move;

  setup_init (&setup);
  key = key_of_first (setup.menu);
  created
      = make_apply (&setup.view, make_hot (key, FALSE, setup.slice->epoch));
  setup.slice = view_slice_at (setup.menu, 0);
  CU_ASSERT_EQUAL (slice_of_key (setup.menu, key), MAKE_SLICES);
  hot = view_slice_at (setup.menu, MAKE_SLICES);
  CU_ASSERT_PTR_NOT_NULL_FATAL (hot);
  if (hot == NULL)
    return;
  CU_ASSERT_TRUE (handle_equal (hot->owner, setup.slice->owner));
  CU_ASSERT_EQUAL (hot->epoch, created);
  move = make_apply (&setup.view,
                     make_slice (RECORD_MOVE, MAKE_SLICES, created, 4, 2, 3));
  make_apply (&setup.view, make_hot (key, TRUE, created));
  CU_ASSERT_EQUAL (slice_of_key (setup.menu, key), MAKE_SLICES);
  created = make_apply (&setup.view,
                        make_slice (RECORD_MOVED, MAKE_SLICES, move, 4, 0, 0));
  CU_ASSERT_EQUAL (view_incarnation (&setup.view, hot->owner), 4);
  make_apply (&setup.view, make_hot (key, TRUE, created));
  CU_ASSERT_EQUAL (slice_of_key (setup.menu, key), MAKE_SLICES);
  view_clear (&setup.view);
}

/* Dropping a hot key raises the epoch of the slice it hashes to, so that the
   fences of the key never decrease, and frees its position.  */
static void
test_hot_drop (void)
{
  struct setup setup;
  const char *key;
  guint64 created;
  guint64 dropped;

  setup_init (&setup);
  key = key_of_first (setup.menu);
  created
      = make_apply (&setup.view, make_hot (key, FALSE, setup.slice->epoch));
  dropped = make_apply (&setup.view, make_hot (key, TRUE, created));
  setup.slice = view_slice_at (setup.menu, 0);
  CU_ASSERT_EQUAL (slice_of_key (setup.menu, key), 0);
  CU_ASSERT_EQUAL (setup.slice->epoch, dropped);
  CU_ASSERT_EQUAL (owner (&setup), 1);
  created = make_apply (&setup.view, make_hot (key, FALSE, dropped));
  CU_ASSERT_EQUAL (slice_of_key (setup.menu, key), MAKE_SLICES);
  CU_ASSERT_EQUAL (view_slice_at (setup.menu, MAKE_SLICES)->epoch, created);
  view_clear (&setup.view);
}

/* A hot key gets no slice while the slice it hashes to has a pending move or
   an unexpected epoch.  */
static void
test_hot_refused (void)
{
  struct setup setup;
  const char *key;

  setup_init (&setup);
  key = key_of_first (setup.menu);
  make_apply (&setup.view, make_hot (key, FALSE, setup.slice->epoch + 1));
  CU_ASSERT_EQUAL (slice_of_key (setup.menu, key), 0);
  begin_move (&setup);
  make_apply (&setup.view, make_hot (key, FALSE, setup.slice->epoch));
  CU_ASSERT_EQUAL (slice_of_key (setup.menu, key), 0);
  view_clear (&setup.view);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "hot", test_hot },
                                 { "hot drop", test_hot_drop },
                                 { "hot refused", test_hot_refused },
                                 CU_TEST_INFO_NULL };

  return suite_run ("apply_hot", tests);
}
