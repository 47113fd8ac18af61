#include "fleet/ring.h"
#include "tests/suite.h"

/* Fill FLEET with COUNT members, n000 and so on.  */
static void
fill (struct fleet_state *fleet, guint count)
{
  guint i;

  fleet_state_init (fleet);
  for (i = 0; i < count; i++)
    {
      struct fleet_entry entry = { .offset = i, .record.kind = FLEET_MEMBER };
      struct fleet_member *member = &entry.record.u.member;
      g_snprintf (member->name, sizeof member->name, "n%03u", i);
      fleet_record_set_key (&entry.record);
      fleet_state_apply (fleet, &entry, 1);
    }
}

/* Return the ring of member I.  */
static struct ring
ring_of (const struct fleet_state *fleet, guint i)
{
  struct ring ring = { 0 };
  char name[NAME_SIZE];

  g_snprintf (name, sizeof name, "n%03u", i);
  ring_update (&ring, fleet, name);
  return ring;
}

/* Return whether RING contains MEMBER with the given direction of gossip.  */
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

/* In a small fleet each pair has exactly one direction of gossip.  */
static void
test_small (void)
{
  struct fleet_state fleet;
  guint i;
  guint k;

  fill (&fleet, 9);
  for (i = 0; i < 9; i++)
    {
      struct ring ring = ring_of (&fleet, i);
      CU_ASSERT_EQUAL (ring.neighbour_count, 8);
      for (k = 0; k < 9; k++)
        {
          struct ring other = ring_of (&fleet, k);
          char name[NAME_SIZE];
          char own[NAME_SIZE];
          g_snprintf (name, sizeof name, "n%03u", k);
          g_snprintf (own, sizeof own, "n%03u", i);
          CU_ASSERT_EQUAL (
              has (&ring, fleet_state_find (&fleet, name), TRUE),
              has (&other, fleet_state_find (&fleet, own), FALSE));
        }
    }
  fleet_state_clear (&fleet);
}

/* In a large fleet a node has few neighbours, and gossip from one node reaches
   all others in few steps.  */
static void
test_large (void)
{
  struct fleet_state fleet;
  gboolean informed[300] = { TRUE };
  guint reached = 1;
  guint steps;
  guint i;
  guint32 k;

  fill (&fleet, 300);
  CU_ASSERT_TRUE (ring_of (&fleet, 7).neighbour_count <= 20);
  for (steps = 0; reached < 300 && steps < 10; steps++)
    {
      gboolean next[300];
      memcpy (next, informed, sizeof next);
      for (i = 0; i < 300; i++)
        {
          struct ring ring = ring_of (&fleet, i);
          for (k = 0; informed[i] && k < ring.neighbour_count; k++)
            next[fleet_state_member_at (&fleet, ring.neighbours[k].member)
                     ->store_offset]
                = TRUE;
        }
      memcpy (informed, next, sizeof informed);
      for (reached = 0, i = 0; i < 300; i++)
        reached += informed[i] ? 1 : 0;
    }
  CU_ASSERT_EQUAL (reached, 300);
  CU_ASSERT_TRUE (steps <= 5);
  fleet_state_clear (&fleet);
}

int
main (void)
{
  CU_TestInfo tests[] = { { "small", test_small },
                          { "large", test_large },
                          CU_TEST_INFO_NULL };

  return suite_run ("ring", tests);
}
