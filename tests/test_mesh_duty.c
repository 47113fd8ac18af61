#include "tests/reading_sim.h"

/* Who reads for all when the readers themselves fail.  */

/* The readers themselves, whoever they are, lose the store, again and
   again.  */
static void
test_each_reader_unserved (void)
{
  struct reading_sim *sim = reading_sim_new ();
  guint round;

  for (round = 0; round < 8; round++)
    {
      guint slot;
      reading_serve (sim, 0, LAST_NODE, READING_SERVED);
      for (slot = 0; slot < READING_SLOTS; slot++)
        {
          guint i = reading_holder (sim, slot);
          if (i < READING_NODES)
            sim->nodes[i].service = READING_SILENT;
        }
      reading_write_series (sim, 8, 330 * MSEC);
    }
  reading_check_in_force (sim);
}

/* What befalls a reader.  */
enum trouble
{
  TROUBLE_FROZEN,  /* stands still */
  TROUBLE_KILLED,  /* is killed, and starts again */
  TROUBLE_LEAVING, /* is asked to stop */
  TROUBLE_CUT,     /* is cut from the other nodes, not from the store */
  TROUBLE_DEAF     /* hears no other node, though they hear it */
};

/* Let TROUBLE befall node I.  */
static void
befall (struct reading_sim *sim, guint i, enum trouble trouble)
{
  switch (trouble)
    {
    case TROUBLE_FROZEN:
      sim->nodes[i].frozen_until = sim->now + 2600 * MSEC;
      break;
    case TROUBLE_KILLED:
      reading_kill (sim, i);
      break;
    case TROUBLE_LEAVING:
      reading_stop (sim, i);
      break;
    case TROUBLE_CUT:
      sim->nodes[i].is_cut = TRUE;
      break;
    case TROUBLE_DEAF:
      sim->nodes[i].is_deaf = TRUE;
      break;
    }
}

/* Let TROUBLE befall both readers of the operator's topic at once, four times,
   and end it after 3 s.  */
static void
run_trouble (enum trouble trouble)
{
  struct reading_sim *sim = reading_sim_new ();
  guint round;
  guint i;

  for (round = 0; round < 4; round++)
    {
      guint first = reading_holder (sim, READING_CONFIG);
      guint spare = reading_holder (sim, READING_CONFIG_SPARE);
      CU_ASSERT_TRUE (first < READING_NODES && spare < READING_NODES);
      CU_ASSERT_NOT_EQUAL (first, spare);
      befall (sim, first, trouble);
      befall (sim, spare, trouble);
      reading_write_series (sim, 9, 330 * MSEC);
      for (i = 0; i < READING_NODES; i++)
        {
          sim->nodes[i].is_cut = sim->nodes[i].is_deaf = FALSE;
          if (!sim->nodes[i].is_up)
            reading_start (sim, i);
        }
      reading_write_series (sim, 9, 330 * MSEC);
      CU_ASSERT_EQUAL (reading_holder_count (sim, READING_CONFIG), 1);
      CU_ASSERT_EQUAL (reading_holder_count (sim, READING_CONFIG_SPARE), 1);
    }
  reading_check_in_force (sim);
}

/* Both readers stand still.  */
static void
test_readers_frozen (void)
{
  run_trouble (TROUBLE_FROZEN);
}

/* Both readers are killed and start again.  */
static void
test_readers_killed (void)
{
  run_trouble (TROUBLE_KILLED);
}

/* Both readers are asked to stop.  */
static void
test_readers_leaving (void)
{
  run_trouble (TROUBLE_LEAVING);
}

/* Both readers are cut from the other nodes, not from the store.  */
static void
test_readers_cut (void)
{
  run_trouble (TROUBLE_CUT);
}

/* Both readers hear no other node.  */
static void
test_readers_deaf (void)
{
  run_trouble (TROUBLE_DEAF);
}

int
main (void)
{
  CU_TestInfo tests[]
      = { { "each reader unserved", test_each_reader_unserved },
          { "readers frozen", test_readers_frozen },
          { "readers killed", test_readers_killed },
          { "readers leaving", test_readers_leaving },
          { "readers cut from the nodes", test_readers_cut },
          { "readers that hear nobody", test_readers_deaf },
          CU_TEST_INFO_NULL };

  return suite_run ("mesh_duty", tests);
}
