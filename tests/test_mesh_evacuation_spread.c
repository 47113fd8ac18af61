#include "tests/reading_sim.h"

/* How soon an evacuation, or its end, is in force at all nodes, whichever the
   store answers.  The aim is 2.5 s after the acknowledgement; requests are
   refused at the evacuated servers from 4 s on.  */

#define AIM_USEC (2500 * MSEC)
#define SERVED_USEC (4000 * MSEC) /* the last requests start before this */
#define FIRST_ZONE_LAST 5u        /* nodes 0 to 5 are the first by name */

/* Have the operator evacuate a data centre, end that, and so on, COUNT times,
   GAP_USEC apart.  */
static void
evacuate_series (struct reading_sim *sim, guint count, gint64 gap_usec)
{
  guint k;

  for (k = 0; k < count; k++)
    {
      reading_evacuate (sim);
      reading_run (sim, gap_usec);
    }
}

/* Return a calm fleet in which only the readers follow the operator's topic:
   the long polls that all nodes began when they started are over.  */
static struct reading_sim *
spread_sim_new (void)
{
  struct reading_sim *sim = reading_sim_new ();

  evacuate_series (sim, 2, 4000 * MSEC);
  sim->worst_evacuation_usec = 0;
  return sim;
}

/* Check that each evacuation was in force everywhere within BOUND_USEC, and
   free SIM.  */
static void
check_spread (struct reading_sim *sim, gint64 bound_usec)
{
  CU_ASSERT_TRUE (sim->worst_evacuation_usec > 0);
  CU_ASSERT_TRUE (sim->worst_evacuation_usec <= bound_usec);
  reading_check_in_force (sim);
}

/* A calm fleet.  */
static void
test_calm (void)
{
  struct reading_sim *sim = spread_sim_new ();

  evacuate_series (sim, 8, 3000 * MSEC);
  check_spread (sim, 1000 * MSEC);
}

/* Guards against an evacuation that is passed over with a configuration that
   comes at the same time, which nodes fetch from each other.  */
static void
test_with_configurations (void)
{
  struct reading_sim *sim = spread_sim_new ();
  gint64 k;

  for (k = 0; k < 10; k++)
    {
      reading_write (sim);
      reading_evacuate (sim);
      reading_write (sim);
      reading_run (sim, 1500 * MSEC + k * 10 * MSEC);
    }
  check_spread (sim, 1000 * MSEC);
}

/* Guards against readers of the operator's topic that the store does not
   answer while the others wait for their word.  */
static void
test_readers_unserved (void)
{
  struct reading_sim *sim = spread_sim_new ();

  reading_serve (sim, 0, FIRST_ZONE_LAST, READING_SILENT);
  evacuate_series (sim, 6, 2500 * MSEC);
  reading_serve (sim, 0, LAST_NODE, READING_SILENT);
  reading_serve (sim, LAST_NODE, LAST_NODE, READING_SERVED);
  evacuate_series (sim, 6, 2500 * MSEC);
  check_spread (sim, AIM_USEC);
}

/* Guards against a record that nobody reads, since the store falls silent
   right after it acknowledged it, for USEC.  */
static void
run_silence (gint64 usec)
{
  struct reading_sim *sim = spread_sim_new ();

  reading_evacuate (sim);
  reading_serve (sim, 0, LAST_NODE, READING_SILENT);
  reading_run (sim, usec);
  reading_serve (sim, 0, LAST_NODE, READING_SERVED);
  reading_run (sim, 4000 * MSEC);
  check_spread (sim, usec + 1800 * MSEC);
}

/* Silences of several lengths.  */
static void
test_silent_store (void)
{
  gint64 usec;

  for (usec = 200 * MSEC; usec <= 2200 * MSEC; usec += 400 * MSEC)
    run_silence (usec);
}

/* Guards against a record that is lost with the nodes that read for the
   others: both are killed as it is written.  */
static void
test_readers_killed (void)
{
  struct reading_sim *sim = spread_sim_new ();
  guint first = reading_holder (sim, READING_CONFIG);
  guint spare = reading_holder (sim, READING_CONFIG_SPARE);

  reading_evacuate (sim);
  reading_kill (sim, first);
  reading_kill (sim, spare);
  reading_run (sim, 4000 * MSEC);
  reading_start (sim, first);
  reading_start (sim, spare);
  reading_run (sim, 6000 * MSEC);
  check_spread (sim, AIM_USEC);
}

/* The same where they are cut from the others but not from the store.  */
static void
test_readers_cut (void)
{
  struct reading_sim *sim = spread_sim_new ();
  guint first = reading_holder (sim, READING_CONFIG);
  guint spare = reading_holder (sim, READING_CONFIG_SPARE);

  reading_evacuate (sim);
  sim->nodes[first].is_cut = sim->nodes[spare].is_cut = TRUE;
  reading_run (sim, 4000 * MSEC);
  sim->nodes[first].is_cut = sim->nodes[spare].is_cut = FALSE;
  reading_run (sim, 6000 * MSEC);
  check_spread (sim, AIM_USEC);
}

/* Guards against a process that starts while the store is silent and does not
   know of an evacuation that is in force elsewhere.  */
static void
test_start_in_outage (void)
{
  struct reading_sim *sim = spread_sim_new ();

  reading_evacuate (sim);
  reading_run (sim, 3000 * MSEC);
  reading_serve (sim, 0, LAST_NODE, READING_SILENT);
  reading_kill (sim, LAST_NODE);
  reading_run (sim, 1000 * MSEC);
  reading_start (sim, LAST_NODE);
  reading_run (sim, 1500 * MSEC);
  CU_ASSERT_TRUE (evacuations_include (&sim->nodes[LAST_NODE].mesh.evacuations,
                                       EVACUATED_ZONE));
  CU_ASSERT_TRUE (mesh_evacuation_is_local (&sim->nodes[LAST_NODE].mesh));
  reading_sim_free (sim);
}

/* Guards against an outage that ends an evacuation, or a set that gets lost
   with the processes that knew it: all but one are killed one after the
   other.  */
static void
test_kept_in_outage (void)
{
  struct reading_sim *sim = spread_sim_new ();
  guint i;

  reading_evacuate (sim);
  reading_run (sim, 3000 * MSEC);
  reading_serve (sim, 0, LAST_NODE, READING_SILENT);
  for (i = 0; i < LAST_NODE; i++)
    {
      reading_kill (sim, i);
      reading_run (sim, 300 * MSEC);
      reading_start (sim, i);
      reading_run (sim, 300 * MSEC);
    }
  reading_run (sim, 3000 * MSEC);
  for (i = 0; i < READING_NODES; i++)
    CU_ASSERT_TRUE (
        evacuations_include (&sim->nodes[i].mesh.evacuations, EVACUATED_ZONE));
  reading_sim_free (sim);
}

/* Guards against an evacuated server that is served after the bound, though
   the store was silent for some seconds: the time to serve ends by 4 s after
   the acknowledgement at every node.  */
static void
test_time_to_serve (void)
{
  struct reading_sim *sim = spread_sim_new ();
  gint64 acked_at = sim->now;
  guint i;

  reading_evacuate (sim);
  reading_serve (sim, 0, LAST_NODE, READING_SILENT);
  reading_run (sim, 2000 * MSEC);
  reading_serve (sim, 0, LAST_NODE, READING_SERVED);
  reading_run (sim, 3000 * MSEC);
  for (i = 0; i < READING_NODES; i++)
    CU_ASSERT_TRUE (evacuations_serve_until (&sim->nodes[i].mesh.evacuations,
                                             EVACUATED_ZONE)
                    <= acked_at + SERVED_USEC);
  reading_sim_free (sim);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "calm", test_calm },
          { "with configurations", test_with_configurations },
          { "readers without answers", test_readers_unserved },
          { "silent store", test_silent_store },
          { "readers killed", test_readers_killed },
          { "readers cut off", test_readers_cut },
          { "start in an outage", test_start_in_outage },
          { "kept in an outage", test_kept_in_outage },
          { "time to serve", test_time_to_serve },
          CU_TEST_INFO_NULL };

  return suite_run ("mesh_evacuation_spread", tests);
}
