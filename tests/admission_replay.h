#ifndef TESTS_ADMISSION_REPLAY_H
#define TESTS_ADMISSION_REPLAY_H

#include "tests/admission_replay_random.h"

/* Replays a load at the admission control of one server, without a network.
   The server has 6 slots.  Requests have a mean run time of 140 ms with a
   heavy tail (log-normal, the 99th percentile is 0.9 s), a target latency of
   600 ms and a deadline of 2,500 ms, in three priorities.  Calls run for 30 ms
   and have 120 and 400 ms; they come from running requests of other servers,
   in the same three priorities, and are sent again after refusals as
   serve/call_retry decides.  */

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

/* Return the request of ITEM.  */
static inline struct request
replay_request (const struct replay *replay, const struct replay_item *item)
{
  struct request request
      = { .priority = (enum priority) (item->kind % 3),
          .is_call = item->kind >= 3,
          .deadline = item->deadline,
          .due_at = item->seen_due_at,
          .expected_run_usec = run_times_of_route (
              &replay->run_times, replay_route (item->kind)) };

  return request;
}

/* Let the caller of ITEM, a new request that was refused, return if it has the
   time.  A caller waits for at most a third of the time that it has left, and
   then has a target from its first attempt still.  */
static inline void
replay_return_caller (struct replay *replay, struct replay_item *item)
{
  struct request request = replay_request (replay, item);
  gint64 advice
      = replay->returns == REPLAY_RETURN_NEXT
            ? (gint64)admission_retry_msec (&replay->admission, replay->now)
                  * REPLAY_MSEC
            : admission_retry_usec (&replay->admission, &request, replay->now);

  advice = MAX (advice, 10 * REPLAY_MSEC);
  if (advice > (item->deadline - replay->now) / 3
      || item->deadline - replay->now < 100 * REPLAY_MSEC)
    replay_fail (replay, item);
  else
    {
      item->again_at = replay->now + advice;
      item->seen_due_at = item->again_at + REPLAY_TARGET;
    }
}

/* Process the refusal of ITEM by the node.  */
static inline void
replay_refused (struct replay *replay, struct replay_item *item)
{
  struct call_retry retry;

  if (item->kind < 3)
    {
      if (replay->returns == REPLAY_RETURN_NEVER)
        replay_fail (replay, item);
      else
        replay_return_caller (replay, item);
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
  struct request request = replay_request (replay, item);
  enum reason reason;

  item->again_at = 0;
  replay->results[item->kind].tries++;
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
  item.due_at = replay->now + (is_call ? 120 * REPLAY_MSEC : REPLAY_TARGET);
  item.seen_due_at = item.due_at;
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
      guint priority = replay_priority (replay, load);
      replay->next_at[0] += replay_exponential (replay, request_gap);
      replay_arrive (replay, priority);
    }
  while (replay->next_at[1] <= (double)replay->now)
    {
      guint priority = replay_priority (replay, load);
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
  replay->returns = load->returns;
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
      results[i].tries += replay->results[i].tries;
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
