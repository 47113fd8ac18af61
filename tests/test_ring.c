#include "fleet/ring.h"
#include "tests/suite.h"

/* Fills FLEET_STATE with COUNT members, n000 and so on.  */
static void
fill (struct roster *roster, guint count)
{
  guint i;

  roster_init (roster);
  for (i = 0; i < count; i++)
    {
      struct fleet_entry entry = { .offset = i, .record.kind = FLEET_MEMBER };
      struct fleet_member *member = &entry.record.u.member;
      g_snprintf (member->name, sizeof member->name, "n%03u", i);
      fleet_record_set_key (&entry.record);
      roster_fold (roster, &entry, 1);
    }
}

/* Returns the ring of member I.  */
static struct ring
ring_of (const struct roster *roster, guint i)
{
  struct ring ring = { 0 };
  char name[NAME_SIZE];

  g_snprintf (name, sizeof name, "n%03u", i);
  ring_update (&ring, roster, name);
  return ring;
}

/* Tells whether RING contains MEMBER with the given direction of gossip.  */
static gboolean
has (const struct ring *ring, struct handle member, gboolean calls)
{
  guint32 i;

  for (i = 0; i < ring->count; i++)
    if (handle_equal (ring->neighbour[i].member, member)
        && ring->neighbour[i].calls == calls)
      return TRUE;
  return FALSE;
}

/* In a small fleet each pair has exactly one direction of gossip.  */
static void
test_small (void)
{
  struct roster roster;
  guint i;
  guint k;

  fill (&roster, 9);
  for (i = 0; i < 9; i++)
    {
      struct ring ring = ring_of (&roster, i);
      CU_ASSERT_EQUAL (ring.count, 8);
      for (k = 0; k < 9; k++)
        {
          struct ring other = ring_of (&roster, k);
          char name[NAME_SIZE];
          char own[NAME_SIZE];
          g_snprintf (name, sizeof name, "n%03u", k);
          g_snprintf (own, sizeof own, "n%03u", i);
          CU_ASSERT_EQUAL (has (&ring, roster_find (&roster, name), TRUE),
                           has (&other, roster_find (&roster, own), FALSE));
        }
    }
  roster_clear (&roster);
}

/* In a large fleet a node has few neighbours, and gossip from one node reaches
   all others in few steps.  */
static void
test_large (void)
{
  struct roster roster;
  gboolean informed[300] = { TRUE };
  guint reached = 1;
  guint steps;
  guint i;
  guint32 k;

  fill (&roster, 300);
  CU_ASSERT_TRUE (ring_of (&roster, 7).count <= 20);
  for (steps = 0; reached < 300 && steps < 10; steps++)
    {
      gboolean next[300];
      memcpy (next, informed, sizeof next);
      for (i = 0; i < 300; i++)
        {
          struct ring ring = ring_of (&roster, i);
          for (k = 0; informed[i] && k < ring.count; k++)
            next[roster_member_at (&roster, ring.neighbour[k].member)->offset]
                = TRUE;
        }
      memcpy (informed, next, sizeof informed);
      for (reached = 0, i = 0; i < 300; i++)
        reached += informed[i] ? 1 : 0;
    }
  CU_ASSERT_EQUAL (reached, 300);
  CU_ASSERT_TRUE (steps <= 5);
  roster_clear (&roster);
}

int
main (void)
{
  CU_TestInfo tests[] = { { "small", test_small },
                          { "large", test_large },
                          CU_TEST_INFO_NULL };

  return suite_run ("ring", tests);
}
