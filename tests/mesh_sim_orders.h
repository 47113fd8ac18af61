#ifndef TESTS_MESH_SIM_ORDERS_H
#define TESTS_MESH_SIM_ORDERS_H

#include "tests/mesh_sim_send.h"

/* Simulated servers that are granted keys by calls.  A call may get no answer
   and be carried out seconds later, after newer ones.  */

#define SAMPLED_KEYS 32  /* keys whose gates are checked in a step */
#define RUN_MSEC_MAX 400 /* longest run that a release waits for */

/* Return whether the server of node I holds KEY now by a grant that was
   carried out in time.  */
static inline gboolean
holds_in_time (const struct sim *sim, guint i, guint32 key)
{
  const struct sim_server *server = &sim->nodes[i].server;

  return server->is_up && server->holds[key].timely_until > sim->now;
}

/* Record that the server of node I takes KEY under FENCE; count it if another
   server holds it or if FENCE is not higher than that of another.  */
static inline void
take_key (struct sim *sim, guint i, guint32 key, guint64 fence,
          gboolean is_late)
{
  guint k;

  if (is_late)
    return;
  for (k = 0; k < SIM_NODES; k++)
    if (k != i && holds_in_time (sim, k, key))
      sim->two_holder_count++;
  if (sim->owner[key] != 0 && sim->owner[key] != i + 1
      && fence <= sim->max_fence[key])
    sim->fence_error_count++;
  sim->owner[key] = (guint8)(i + 1);
  sim->max_fence[key] = MAX (sim->max_fence[key], fence);
}

/* Carry out the grant in MESSAGE.  Return the result.  */
static inline enum err
carry_out_grant (struct sim *sim, const struct sim_message *message)
{
  struct sim_server *server = &sim->nodes[message->from].server;
  const struct key_order *order = &message->order;
  gint64 hold_usec = order->granted_until - message->started_at;
  guint32 key;

  for (key = order->first; key <= order->last; key++)
    if (server->seen_fence[key] > order->fence)
      return ERR_CONFLICT;
  for (key = order->first; key <= order->last; key++)
    {
      struct sim_hold *hold = &server->holds[key];
      gboolean renews = hold->until > sim->now && hold->fence == order->fence;
      gint64 until = sim->now + hold_usec + hold_usec / 50;
      server->seen_fence[key] = order->fence;
      take_key (sim, message->from, key, order->fence, message->is_late);
      if (!renews)
        hold->until = hold->timely_until = 0;
      hold->fence = order->fence;
      hold->until = MAX (hold->until, until);
      if (!message->is_late)
        hold->timely_until = MAX (hold->timely_until, until);
    }
  return ERR_NONE;
}

/* Carry out the release in MESSAGE.  */
static inline void
carry_out_release (struct sim *sim, const struct sim_message *message)
{
  struct sim_server *server = &sim->nodes[message->from].server;
  const struct key_order *order = &message->order;
  guint32 key;

  for (key = order->first; key <= order->last; key++)
    {
      server->seen_fence[key] = MAX (server->seen_fence[key], order->fence);
      if (server->holds[key].fence <= order->fence)
        server->holds[key].until = server->holds[key].timely_until = 0;
    }
}

/* Carry out the order in MESSAGE and answer it, unless it is late.  */
static inline void
on_order (struct sim *sim, const struct sim_message *message)
{
  struct sim_message back = *message;
  const struct sim_server *server = &sim->nodes[message->from].server;

  back.kind = SIM_ORDER_ENDED;
  back.code = ERR_REFUSED;
  if (server->is_up && server->instance.started_at_msec != message->born_msec)
    back.code = ERR_NOT_FOUND;
  else if (server->is_up && message->order.kind == KEY_ORDER_GRANT)
    back.code = carry_out_grant (sim, message);
  else if (server->is_up)
    {
      carry_out_release (sim, message);
      back.code = ERR_NONE;
    }
  if (!message->is_late)
    send_message (sim, &back,
                  message->order.kind == KEY_ORDER_RELEASE
                      ? draw_msec (sim, 1, RUN_MSEC_MAX)
                      : draw_msec (sim, 1, 3));
}

/* Pass the end of the order in MESSAGE to its node; a node that is paused gets
   it later.  */
static inline void
on_order_ended (struct sim *sim, const struct sim_message *message)
{
  struct event event = { .kind = EVENT_KEY_ORDER_ENDED };

  if (sim->nodes[message->from].process_number != message->process_number)
    return;
  if (sim->now < sim->nodes[message->from].paused_until)
    {
      struct sim_message again = *message;
      send_message (sim, &again,
                    sim->nodes[message->from].paused_until - sim->now);
      return;
    }
  event.u.key_order_ended.serial = message->serial;
  event.u.key_order_ended.order = message->order;
  event.u.key_order_ended.code = message->code;
  g_snprintf (event.u.key_order_ended.handover_token, HANDOVER_TOKEN_SIZE,
              "t%u", message->order.first);
  feed_node (sim, message->from, &event);
}

/* Count the keys of a random sample that more than one node would send
   requests for.  */
static inline void
check_gates (struct sim *sim)
{
  guint n;
  guint i;

  for (n = 0; n < SAMPLED_KEYS; n++)
    {
      guint32 key = (guint32)g_rand_int_range (sim->random, 0,
                                               (gint32)SHARD_KEY_COUNT);
      guint open = 0;
      for (i = 0; i < SIM_NODES; i++)
        if (sim->nodes[i].is_up && sim->now >= sim->nodes[i].paused_until
            && sim->nodes[i].server.is_up
            && grant_covers_key (&sim->nodes[i].mesh.grant, key, sim->now))
          open++;
      if (open > 1)
        sim->two_holder_count++;
    }
}

#endif
