#include "fleet/ring.h"
#include "tests/suite.h"

/* A roster of COUNT members, n000 and so on.  */
static void
fill (struct fleet_state *fleet_state, guint count)
{
  guint i;

  fleet_state_init (fleet_state);
  for (i = 0; i < count; i++)
    {
      struct fleet_entry entry = { .offset = i, .record.kind = FLEET_MEMBER };
      struct fleet_member *member = &entry.record.u.member;
      g_snprintf (member->name, sizeof member->name, "n%03u", i);
      fleet_record_set_key (&entry.record);
      fleet_state_apply (fleet_state, &entry, 1);
    }
}

/* The ring of member I.  */
static struct ring
ring_of (const struct fleet_state *fleet_state, guint i)
{
  struct ring ring = { 0 };
  char name[NAME_SIZE];

  g_snprintf (name, sizeof name, "n%03u", i);
  ring_update (&ring, fleet_state, name);
  return ring;
}

/* Tell whether RING has MEMBER, called by this node if CALLS.  */
static gboolean
has (const struct ring *ring, struct handle member, gboolean calls)
{
  guint32 i;

  for (i = 0; i < ring->neighbour_count; i++)
    if (handle_equal (ring->neighbours[i].member, member)
        && ring->neighbours[i].is_called == calls)
      return TRUE;
  return FALSE;
}

/* In a small fleet each pair calls each other once.  */
static void
test_small (void)
{
  struct fleet_state fleet_state;
  guint i;
  guint k;

  fill (&fleet_state, 9);
  for (i = 0; i < 9; i++)
    {
      struct ring ring = ring_of (&fleet_state, i);
      CU_ASSERT_EQUAL (ring.neighbour_count, 8);
      for (k = 0; k < 9; k++)
        {
          struct ring other = ring_of (&fleet_state, k);
          char name[NAME_SIZE];
          char own[NAME_SIZE];
          g_snprintf (name, sizeof name, "n%03u", k);
          g_snprintf (own, sizeof own, "n%03u", i);
          CU_ASSERT_EQUAL (
              has (&ring, fleet_state_find (&fleet_state, name), TRUE),
              has (&other, fleet_state_find (&fleet_state, own), FALSE));
        }
    }
  fleet_state_clear (&fleet_state);
}

/* In a large one a node has few neighbours, and news from it reaches all in
   few steps.  */
static void
test_large (void)
{
  struct fleet_state fleet_state;
  gboolean knows[300] = { TRUE };
  guint reached = 1;
  guint steps;
  guint i;
  guint32 k;

  fill (&fleet_state, 300);
  CU_ASSERT_TRUE (ring_of (&fleet_state, 7).neighbour_count <= 20);
  for (steps = 0; reached < 300 && steps < 10; steps++)
    {
      gboolean next[300];
      memcpy (next, knows, sizeof next);
      for (i = 0; i < 300; i++)
        {
          struct ring ring = ring_of (&fleet_state, i);
          for (k = 0; knows[i] && k < ring.neighbour_count; k++)
            next[fleet_state_member_at (&fleet_state,
                                        ring.neighbours[k].member)
                     ->store_offset]
                = TRUE;
        }
      memcpy (knows, next, sizeof knows);
      for (reached = 0, i = 0; i < 300; i++)
        reached += knows[i] ? 1 : 0;
    }
  CU_ASSERT_EQUAL (reached, 300);
  CU_ASSERT_TRUE (steps <= 5);
  fleet_state_clear (&fleet_state);
}

int
main (void)
{
  CU_TestInfo tests[] = { { "small", test_small },
                          { "large", test_large },
                          CU_TEST_INFO_NULL };

  return suite_run ("ring", tests);
}
