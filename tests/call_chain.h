#ifndef TESTS_CALL_CHAIN_H
#define TESTS_CALL_CHAIN_H

#include "tests/call_chain_types.h"

#include <math.h>

/* A replay, without a network, of requests whose calls compete with requests
   of another service: 6 servers run parents of priority 0 (120 ms of work,
   target 400 ms, deadline 1,500 ms), of which 0.7 make two calls one after the
   other (31 ms, target 150 ms, deadline 400 ms) to 3 servers.  Those have
   requests of their own, of priority 1 (160 ms, target 500 ms, deadline 2,000
   ms).  All servers have 6 slots.  Seen on a heavy day: requests of priority 0
   were served to 0.573 and those of priority 1 to 0.806, since calls had the
   priority of their own route and failed after three refusals.  */

static inline void send_item (struct chain *chain, guint index);

/* Return a run time with the mean MEAN_USEC and a heavy tail.  */
static inline gint64
draw_work (struct chain *chain, double mean_usec)
{
  double normal = -6;
  guint i;

  for (i = 0; i < 12; i++)
    normal += g_rand_double (chain->random);
  return (gint64)(mean_usec * exp (0.6 * normal - 0.18));
}

/* Add an item of KIND with the work WORK_USEC, the target TARGET_MSEC and the
   deadline DEADLINE_MSEC.  */
static inline guint
add_item (struct chain *chain, enum item_kind kind, gint64 work_usec,
          gint64 target_msec, gint64 deadline_msec)
{
  guint i = 1;

  while (chain->items[i].used)
    i++;
  g_assert (i < ITEMS - 1);
  chain->items[i]
      = (struct item){ .used = TRUE,
                       .kind = kind,
                       .arrived_at = chain->now,
                       .due_at = chain->now + target_msec * MSEC,
                       .deadline = chain->now + deadline_msec * MSEC,
                       .work_usec = work_usec };
  chain->results[kind].sent++;
  return i;
}

/* Begin the next part of the run of ITEM.  */
static inline void
begin_part (struct chain *chain, struct item *item)
{
  item->part_ends_at = chain->now + item->work_usec;
}

/* Give free slots of SERVER to its queue, and refuse what is late there.  */
static inline void
start_queued (struct chain *chain, guint server)
{
  struct admission *admission = &chain->admission[server];
  struct handle h;

  while (admission_evict (admission, &h)
         || admission_evict_late (admission, chain->now, &h)
         || admission_expire (admission, chain->now, &h))
    {
      chain->items[h.bits].refusal.tried_count++;
      chain->items[h.bits].again_at = chain->now;
    }
  while (admission_next (admission, chain->now, &h))
    {
      chain->items[h.bits].started_at = chain->now;
      begin_part (chain, &chain->items[h.bits]);
    }
}

/* End ITEM, which holds a slot if it was started.  */
static inline void
end_item (struct chain *chain, struct item *item, gboolean served)
{
  struct result *result = &chain->results[item->kind];

  item->used = FALSE;
  if (item->started_at != 0)
    {
      gint64 run_usec = chain->now - item->started_at;
      admission_release (&chain->admission[item->server]);
      admission_on_done (&chain->admission[item->server], run_usec);
      run_times_add (&chain->run_times[item->server], item->kind + 1,
                     run_usec);
      start_queued (chain, item->server);
    }
  if (served && chain->now <= item->due_at)
    result->on_time++;
  else if (served && chain->now <= item->deadline)
    result->late++;
}

/* End the call ITEM without a response, and its parent with it.  */
static inline void
fail_call (struct chain *chain, struct item *item)
{
  struct item *parent = &chain->items[item->parent];

  item->used = FALSE;
  chain->results[ITEM_PARENT].failed++;
  end_item (chain, parent, FALSE);
}

/* Decide what follows the refusal of the item at INDEX.  */
static inline void
after_refusal (struct chain *chain, guint index)
{
  struct item *item = &chain->items[index];
  struct call_retry retry;

  item->refusal.left_usec = item->deadline - chain->now;
  item->refusal.need_usec = NEED_USEC;
  item->refusal.advice_usec = 50 * MSEC;
  item->refusal.other_is_free = item->refusal.tried_count < 3;
  if (item->kind != ITEM_CALL || !chain->inherits)
    {
      if (item->refusal.tried_count < 3)
        send_item (chain, index);
      else if (item->kind == ITEM_CALL)
        fail_call (chain, item);
      else
        item->used = FALSE;
      return;
    }
  retry = call_retry_decide (&item->refusal);
  if (retry.action == CALL_RETRY_FAIL)
    fail_call (chain, item);
  else if (retry.action == CALL_RETRY_ELSEWHERE)
    send_item (chain, index);
  else
    {
      item->refusal.pause_count++;
      item->refusal.tried_count = 0;
      item->again_at = chain->now + retry.pause_usec;
    }
}

/* Send the item at INDEX to a server drawn at random.  */
static inline void
send_item (struct chain *chain, guint index)
{
  struct item *item = &chain->items[index];
  gboolean is_parent = item->kind == ITEM_PARENT;
  gboolean inherits = chain->inherits && item->kind == ITEM_CALL;
  struct request request
      = { .priority = is_parent || inherits ? PRIORITY_HIGH : PRIORITY_NORMAL,
          .is_call = inherits,
          .deadline = item->deadline,
          .due_at = item->due_at };
  struct handle h = { index };
  enum reason reason;

  item->again_at = 0;
  item->server
      = is_parent
            ? (guint)g_rand_int_range (chain->random, 0, PARENT_SERVERS)
            : (guint)g_rand_int_range (chain->random, PARENT_SERVERS, SERVERS);
  request.expected_run_usec
      = run_times_of_route (&chain->run_times[item->server], item->kind + 1);
  switch (admission_request (&chain->admission[item->server], h, &request,
                             chain->now, &reason))
    {
    case ADMISSION_RUN:
      item->started_at = chain->now;
      begin_part (chain, item);
      break;
    case ADMISSION_QUEUE:
      start_queued (chain, item->server);
      break;
    case ADMISSION_REFUSE:
      item->refusal.tried_count++;
      after_refusal (chain, index);
      break;
    }
}

/* End the part of the run of the item at INDEX: it makes its next call, or
   ends.  */
static inline void
end_part (struct chain *chain, guint index)
{
  struct item *item = &chain->items[index];
  guint call;

  item->part_ends_at = 0;
  if (item->calls_left > 0)
    {
      item->calls_left--;
      call = add_item (chain, ITEM_CALL, draw_work (chain, 31000), 150, 400);
      chain->items[call].parent = index;
      if (chain->inherits)
        chain->items[call].deadline
            = MIN (chain->items[call].deadline, item->deadline);
      send_item (chain, call);
      return;
    }
  if (item->kind == ITEM_CALL && chain->now > item->deadline)
    {
      struct item *parent = &chain->items[item->parent];
      end_item (chain, item, FALSE);
      chain->results[ITEM_PARENT].failed++;
      end_item (chain, parent, FALSE);
      return;
    }
  if (item->kind == ITEM_CALL)
    begin_part (chain, &chain->items[item->parent]);
  end_item (chain, item, TRUE);
}

/* Let what is due by now happen.  */
static inline void
step_items (struct chain *chain)
{
  guint i;

  for (i = 1; i < ITEMS; i++)
    {
      struct item *item = &chain->items[i];
      if (!item->used)
        continue;
      if (item->part_ends_at != 0 && item->part_ends_at <= chain->now)
        end_part (chain, i);
      else if (item->again_at != 0 && item->again_at <= chain->now)
        {
          if (item->refusal.tried_count > 0)
            {
              item->again_at = 0;
              after_refusal (chain, i);
            }
          else
            send_item (chain, i);
        }
    }
}

/* Let new requests arrive, PER_SEC of KIND.  */
static inline void
step_arrivals (struct chain *chain, enum item_kind kind, double per_sec,
               double *next_at)
{
  while (*next_at <= (double)chain->now)
    {
      guint i;
      *next_at += -1e6 / per_sec * log (1 - g_rand_double (chain->random));
      if (kind == ITEM_PARENT)
        {
          gboolean calls = g_rand_double (chain->random) < 0.7;
          i = add_item (chain, kind, draw_work (chain, calls ? 40000 : 120000),
                        400, 1500);
          chain->items[i].calls_left = calls ? 2 : 0;
        }
      else
        i = add_item (chain, kind, draw_work (chain, 160000), 500, 2000);
      send_item (chain, i);
    }
}

#endif
