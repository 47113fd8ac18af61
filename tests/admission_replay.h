#ifndef TESTS_ADMISSION_REPLAY_H
#define TESTS_ADMISSION_REPLAY_H

#include "decide/admission.h"
#include "serve/call_retry.h"
#include "serve/run_times.h"

#include <math.h>

/* Replays a load at the admission control of one server, without a network.
   The server has 6 slots.  Requests have a mean run time of 140 ms with a
   heavy tail (log-normal, the 99th percentile is 0.9 s), a target latency of
   600 ms and a deadline of 2,500 ms, in three priorities.  Calls run for 30 ms
   and have 120 and 400 ms; they come from running requests of other servers,
   in the same three priorities, and are sent again after refusals as
   serve/call_retry decides.  A new request that is refused does not come
   back.  */

#define REPLAY_SLOTS 6u
#define REPLAY_QUEUE (REPLAY_SLOTS * 4)
#define REPLAY_START ((gint64)1000000000)
#define REPLAY_MSEC ((gint64)1000)
#define REPLAY_STEP (1 * REPLAY_MSEC)
#define REPLAY_ITEMS 512u
#define REPLAY_CALL_SHARE 0.12 /* share of the capacity that calls ask for */
#define REPLAY_CALL_WAIT_MIN (30 * REPLAY_MSEC)

/* The kinds of requests; a call of priority P has the kind 3 + P.  */
#define REPLAY_KINDS 6u

/* Results for one kind.  */
struct replay_result
{
  guint sent;       /* requests, or calls */
  guint on_time;    /* ended within the target */
  guint late;       /* ended after the target, within the deadline */
  guint refused;    /* refused, for good */
  guint in_vain;    /* refused after a wait, or ended after the deadline */
  gint64 vain_usec; /* time that those waited or ran */
};

/* One request or call in the replay.  */
struct replay_item
{
  gboolean used;               /* the entry is in use */
  guint kind;                  /* index of its kind */
  gint64 arrived_at;           /* when it arrived first */
  gint64 deadline;             /* when its caller gives up */
  gint64 due_at;               /* its target */
  gint64 run_usec;             /* how long it will run */
  gint64 started_at;           /* when it got a slot, 0: it has none */
  gint64 again_at;             /* when it is sent again, 0: it is not */
  struct call_refusal refusal; /* what a call knows of its refusals */
};

/* A load: shares of the capacity, by time.  */
struct replay_load
{
  double load;       /* offered work as a share of the capacity */
  double burst_load; /* the same during the burst */
  gint64 burst_at;   /* when a burst begins, from the start; 0: none */
  gint64 burst_usec; /* length of the burst */
  gint64 usec;       /* length of the replay */
  double share[3];   /* shares of the priorities in new requests */
};

struct replay
{
  struct admission admission;
  struct run_times run_times;
  struct replay_item items[REPLAY_ITEMS];
  struct replay_result results[REPLAY_KINDS];
  GRand *random;
  gint64 now;
  double next_at[2]; /* when the next request and the next call arrive */
  double busy_usec;  /* slot time used */
};

/* Return a sample of the exponential distribution with mean MEAN.  */
static inline double
replay_exponential (struct replay *replay, double mean)
{
  return -mean * log (1 - g_rand_double (replay->random));
}

/* Return a sample of the log-normal distribution with mean MEAN and the
   standard deviation SIGMA of the logarithm.  */
static inline double
replay_run (struct replay *replay, double mean, double sigma)
{
  double normal = -6;
  guint i;

  for (i = 0; i < 12; i++)
    normal += g_rand_double (replay->random);
  return mean * exp (sigma * normal - sigma * sigma / 2);
}

/* Return the number of the route of KIND.  */
static inline guint32
replay_route (guint kind)
{
  return kind < 3 ? 1 : 2;
}

/* Count the end of ITEM without an answer in time.  */
static inline void
replay_fail (struct replay *replay, struct replay_item *item)
{
  struct replay_result *result = &replay->results[item->kind];

  result->refused++;
  if (replay->now > item->arrived_at)
    {
      result->in_vain++;
      result->vain_usec += replay->now - item->arrived_at;
    }
  item->used = FALSE;
}

/* Process the refusal of ITEM by the node.  */
static inline void
replay_refused (struct replay *replay, struct replay_item *item)
{
  struct call_retry retry;

  if (item->kind < 3)
    {
      replay_fail (replay, item);
      return;
    }
  item->refusal.left_usec = item->deadline - replay->now;
  item->refusal.need_usec = REPLAY_CALL_WAIT_MIN;
  item->refusal.tried_count++;
  item->refusal.advice_usec = 50 * REPLAY_MSEC;
  retry = call_retry_decide (&item->refusal);
  if (retry.action != CALL_RETRY_PAUSE)
    {
      replay_fail (replay, item);
      return;
    }
  item->refusal.pause_count++;
  item->refusal.tried_count = 0;
  item->again_at = replay->now + retry.pause_usec;
}

/* Refuse the requests that lost their place in the queue.  */
static inline void
replay_evict (struct replay *replay)
{
  struct handle h;

  while (admission_evict (&replay->admission, &h))
    replay_refused (replay, &replay->items[h.bits]);
  while (admission_evict_late (&replay->admission, replay->now, &h))
    replay_refused (replay, &replay->items[h.bits]);
  while (admission_expire (&replay->admission, replay->now, &h))
    replay_refused (replay, &replay->items[h.bits]);
}

/* Send the item at INDEX to the admission control.  */
static inline void
replay_send (struct replay *replay, guint index)
{
  struct replay_item *item = &replay->items[index];
  struct handle h = { index };
  struct request request
      = { .priority = (enum priority) (item->kind % 3),
          .is_call = item->kind >= 3,
          .deadline = item->deadline,
          .due_at = item->due_at,
          .expected_run_usec = run_times_of_route (
              &replay->run_times, replay_route (item->kind)) };
  enum reason reason;

  item->again_at = 0;
  switch (admission_request (&replay->admission, h, &request, replay->now,
                             &reason))
    {
    case ADMISSION_RUN:
      item->started_at = replay->now;
      break;
    case ADMISSION_QUEUE:
      break;
    case ADMISSION_REFUSE:
      replay_refused (replay, item);
      break;
    }
  replay_evict (replay);
}

/* Add a request of KIND.  */
static inline void
replay_arrive (struct replay *replay, guint kind)
{
  gboolean is_call = kind >= 3;
  struct replay_item item
      = { .used = TRUE, .kind = kind, .arrived_at = replay->now };
  guint i = 1;

  item.deadline = replay->now + (is_call ? 400 : 2500) * REPLAY_MSEC;
  item.due_at = replay->now + (is_call ? 120 : 600) * REPLAY_MSEC;
  item.run_usec = (gint64)(is_call ? replay_run (replay, 30000, 0.5)
                                   : replay_run (replay, 140000, 0.95));
  while (replay->items[i].used)
    i++;
  g_assert (i < REPLAY_ITEMS);
  replay->items[i] = item;
  replay->results[kind].sent++;
  replay_send (replay, i);
}

/* Give free slots to the requests in the queue, as the mesh does.  */
static inline void
replay_start_queued (struct replay *replay)
{
  struct handle h;

  replay_evict (replay);
  while (admission_next (&replay->admission, replay->now, &h))
    {
      struct replay_item *item = &replay->items[h.bits];
      if (item->deadline - replay->now
          < run_times_of_route (&replay->run_times, replay_route (item->kind))
                * 80 / 100)
        {
          admission_give_back (&replay->admission);
          replay_refused (replay, item);
          continue;
        }
      item->started_at = replay->now;
    }
}

/* End the run of ITEM.  */
static inline void
replay_end_run (struct replay *replay, struct replay_item *item)
{
  struct replay_result *result = &replay->results[item->kind];

  admission_release (&replay->admission);
  admission_on_done (&replay->admission, item->run_usec);
  run_times_add (&replay->run_times, replay_route (item->kind),
                 item->run_usec);
  replay->busy_usec += (double)item->run_usec;
  item->used = FALSE;
  if (replay->now <= item->due_at)
    result->on_time++;
  else if (replay->now <= item->deadline)
    result->late++;
  else
    {
      result->in_vain++;
      result->vain_usec += replay->now - item->arrived_at;
    }
  replay_start_queued (replay);
}

/* Process what is due by now: ends of runs and calls that are sent again.  */
static inline void
replay_step_items (struct replay *replay)
{
  guint i;

  for (i = 1; i < REPLAY_ITEMS; i++)
    {
      struct replay_item *item = &replay->items[i];
      if (!item->used)
        continue;
      if (item->started_at != 0
          && item->started_at + item->run_usec <= replay->now)
        replay_end_run (replay, item);
      else if (item->again_at != 0 && item->again_at <= replay->now)
        replay_send (replay, i);
    }
}

/* Let the requests and calls arrive that are due by now, under LOAD.  */
static inline void
replay_step_arrivals (struct replay *replay, const struct replay_load *load)
{
  gint64 at = replay->now - REPLAY_START;
  double offered = load->burst_at != 0 && at >= load->burst_at
                           && at < load->burst_at + load->burst_usec
                       ? load->burst_load
                       : load->load;
  double request_gap
      = 140000 / (REPLAY_SLOTS * offered * (1 - REPLAY_CALL_SHARE));
  double call_gap = 30000 / (REPLAY_SLOTS * offered * REPLAY_CALL_SHARE);

  while (replay->next_at[0] <= (double)replay->now)
    {
      double draw = g_rand_double (replay->random);
      guint priority = draw < load->share[0]                    ? 0
                       : draw < load->share[0] + load->share[1] ? 1
                                                                : 2;
      replay->next_at[0] += replay_exponential (replay, request_gap);
      replay_arrive (replay, priority);
    }
  while (replay->next_at[1] <= (double)replay->now)
    {
      double draw = g_rand_double (replay->random);
      guint priority = draw < load->share[0]                    ? 0
                       : draw < load->share[0] + load->share[1] ? 1
                                                                : 2;
      replay->next_at[1] += replay_exponential (replay, call_gap);
      replay_arrive (replay, 3 + priority);
    }
}

/* Replay LOAD with SEED and add the results to RESULTS.  MAX_WAIT_PERCENT is
   that of the admission control.  */
static inline void
replay_load (const struct replay_load *load, guint32 seed,
             guint32 max_wait_percent, struct replay_result *results)
{
  struct replay *replay = g_new0 (struct replay, 1);
  gint64 tick_at = REPLAY_START;
  guint i;

  admission_init (&replay->admission);
  admission_set_slots (&replay->admission, REPLAY_SLOTS, REPLAY_QUEUE);
  replay->admission.max_wait_percent = max_wait_percent;
  replay->random = g_rand_new_with_seed (seed);
  replay->next_at[0] = replay->next_at[1] = (double)REPLAY_START;
  for (replay->now = REPLAY_START; replay->now < REPLAY_START + load->usec;
       replay->now += REPLAY_STEP)
    {
      replay_step_items (replay);
      replay_step_arrivals (replay, load);
      if (replay->now >= tick_at)
        {
          replay_start_queued (replay);
          tick_at += 25 * REPLAY_MSEC;
        }
    }
  for (i = 0; i < REPLAY_KINDS; i++)
    {
      results[i].sent += replay->results[i].sent;
      results[i].on_time += replay->results[i].on_time;
      results[i].late += replay->results[i].late;
      results[i].refused += replay->results[i].refused;
      results[i].in_vain += replay->results[i].in_vain;
      results[i].vain_usec += replay->results[i].vain_usec;
    }
  admission_clear (&replay->admission);
  g_rand_free (replay->random);
  g_free (replay);
}

#endif
