#ifndef TESTS_LOAD_REPLAY_RUN_H
#define TESTS_LOAD_REPLAY_RUN_H

#include "tests/load_replay.h"

#include <stdlib.h>

/* Set up the servers and entries of the replay.  */
static inline void
replay_setup (struct replay *replay)
{
  const struct replay_case *setup = replay->setup;
  guint i;
  guint s;

  for (s = 0; s < setup->servers; s++)
    {
      struct replay_server *server = &replay->servers[s];
      server->speed = setup->speeds[s % setup->speed_count];
      server->zone = s % REPLAY_ZONES;
      server->next_slow_at
          = replay->now
            + (gint64)replay_exponential (replay, REPLAY_SLOW_GAP_USEC);
    }
  for (s = setup->servers - 1; s > 0; s--)
    {
      guint other = (guint)g_rand_int_range (replay->random, 0, (gint)s + 1);
      guint zone = replay->servers[s].zone;
      replay->servers[s].zone = replay->servers[other].zone;
      replay->servers[other].zone = zone;
    }
  for (i = 0; i < REPLAY_ENTRIES; i++)
    {
      for (s = 0; s < setup->servers; s++)
        replay->peers[i][s].load.slots = REPLAY_SLOTS;
      replay->next_report_at[i]
          = replay->now
            + g_rand_int_range (replay->random, 0, (gint)REPLAY_REPORT_USEC);
    }
}

/* Return the sum of the speeds of all servers.  */
static inline gdouble
replay_capacity (const struct replay *replay)
{
  gdouble capacity = 0;
  guint s;

  for (s = 0; s < replay->setup->servers; s++)
    capacity += replay->servers[s].speed;
  return capacity;
}

/* Send the periodic reports that are due.  */
static inline void
replay_report_all (struct replay *replay)
{
  guint i;
  guint s;

  if (replay->setup->reports != REPLAY_PERIODIC)
    return;
  for (i = 0; i < REPLAY_ENTRIES; i++)
    {
      if (replay->now < replay->next_report_at[i])
        continue;
      replay->next_report_at[i] += REPLAY_REPORT_USEC;
      for (s = 0; s < replay->setup->servers; s++)
        {
          struct load_report load = replay_report (replay, s);
          peer_state_on_load (&replay->peers[i][s], &load, replay->now);
        }
    }
}

/* Close the window in which the loads of the servers are compared, and count
   it if COUNTS.  */
static inline void
replay_close_window (struct replay *replay, gboolean counts)
{
  gdouble most = 0;
  gdouble sum = 0;
  guint s;

  for (s = 0; s < replay->setup->servers; s++)
    {
      struct replay_server *server = &replay->servers[s];
      most = MAX (most, server->work / server->speed);
      sum += server->work;
      server->work = 0;
    }
  if (!counts || sum <= 0)
    return;
  replay->busiest_sum += most * replay_capacity (replay) / sum;
  replay->window_count++;
}

/* Order gdoubles for qsort.  */
static inline int
replay_compare (const void *a, const void *b)
{
  gdouble difference = *(const gdouble *)a - *(const gdouble *)b;

  return (difference > 0) - (difference < 0);
}

/* Return what REPLAY has shown.  */
static inline struct replay_result
replay_evaluate (struct replay *replay)
{
  struct replay_result result = { 0 };
  gdouble sum = 0;
  guint i;

  qsort (replay->waits, replay->wait_count, sizeof (gdouble), replay_compare);
  for (i = 0; i < replay->wait_count; i++)
    sum += replay->waits[i];
  result.busiest = replay->busiest_sum / replay->window_count;
  result.wait_ms = sum / replay->wait_count / USEC_PER_MSEC;
  result.wait95_ms
      = replay->waits[replay->wait_count / 20 * 19] / USEC_PER_MSEC;
  result.refused = (gdouble)replay->refused / replay->total;
  result.crossed = (gdouble)replay->crossed / replay->total;
  return result;
}

/* Replay SETUP with the method CHOOSE and random numbers from SEED.  */
static inline struct replay_result
replay_run (const struct replay_case *setup, replay_choose choose,
            guint32 seed)
{
  struct replay *replay = g_new0 (struct replay, 1);
  struct replay_result result;
  gint64 start = (gint64)100 * USEC_PER_SEC;
  gint64 window_end = start + REPLAY_WARMUP_USEC;
  gdouble next_arrival = (gdouble)start;
  gdouble gap_usec;
  guint s;

  replay->setup = setup;
  replay->now = start;
  replay->random = g_rand_new_with_seed (seed);
  replay_setup (replay);
  gap_usec = REPLAY_RUN_USEC
             / (setup->utilisation * REPLAY_SLOW_CAPACITY * REPLAY_SLOTS
                * replay_capacity (replay));
  for (; replay->now < start + REPLAY_END_USEC;
       replay->now += REPLAY_STEP_USEC)
    {
      for (s = 0; s < setup->servers; s++)
        replay_run_server (replay, s);
      replay_report_all (replay);
      for (; next_arrival <= (gdouble)replay->now;
           next_arrival += replay_exponential (replay, gap_usec))
        {
          struct replay_job job = { .entered_at = replay->now };
          job.entry = (guint)g_rand_int_range (replay->random, 0,
                                               (gint)REPLAY_ENTRIES);
          job.work = g_rand_double_range (replay->random, 0.5, 1.5);
          replay->total++;
          replay_offer (replay, job, choose);
        }
      replay_deliver (replay, choose);
      if (replay->now < window_end)
        continue;
      if (window_end == start + REPLAY_WARMUP_USEC)
        replay->wait_count = replay->total = replay->refused = replay->crossed
            = 0;
      replay_close_window (replay, window_end > start + REPLAY_WARMUP_USEC);
      window_end += REPLAY_WINDOW_USEC;
    }
  result = replay_evaluate (replay);
  g_rand_free (replay->random);
  g_free (replay);
  return result;
}

#endif
