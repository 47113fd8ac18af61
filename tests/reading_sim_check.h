#ifndef TESTS_READING_SIM_CHECK_H
#define TESTS_READING_SIM_CHECK_H

#include "tests/reading_sim_messages.h"

/* Checks of a simulation: which versions nodes lack, and what they say then.
 */

/* Return what node I answers to a request that no route matches.  */
static inline enum reason
reading_refusal (struct reading_sim *sim, guint i)
{
  struct event event = { .kind = EVENT_REQUEST };
  struct actions actions;
  enum reason reason = REASON_NONE;
  guint a;

  event.u.request.exchange = handle_make (1, 1);
  event.u.request.request.deadline = sim->now + 1000 * MSEC;
  event.u.request.host = "h";
  event.u.request.target = "/none/x";
  actions_init (&actions);
  mesh_step (&sim->nodes[i].mesh, &event, sim->now, &actions);
  for (a = 0; a < actions.items->len; a++)
    if (actions_at (&actions, a)->kind == ACTION_ANSWER)
      reason = actions_at (&actions, a)->u.answer.reason;
  actions_clear (&actions);
  return reason;
}

/* Check whether node I, which is in touch, knows the last evacuation or end of
   one.  */
static inline void
reading_check_evacuation (struct reading_sim *sim, guint i)
{
  const struct reading_node *node = &sim->nodes[i];
  guint count = sim->evacuated->len;

  if (count == 0
      || evacuations_include (&node->mesh.evacuations, EVACUATED_ZONE)
             == (count % 2 == 1))
    return;
  sim->worst_evacuation_usec
      = MAX (sim->worst_evacuation_usec,
             sim->now - g_array_index (sim->evacuated, gint64, count - 1));
}

/* Check node I: which versions it lacks, and for how long.  */
static inline void
reading_check (struct reading_sim *sim, guint i)
{
  struct reading_node *node = &sim->nodes[i];
  guint64 version = node->is_up ? mesh_routing_version (&node->mesh) : 0;
  gint64 lacks_usec;

  if (node->is_cut || node->is_deaf || !node->is_up
      || sim->now < node->frozen_until)
    node->disturbed_at = sim->now;
  if (node->is_up && sim->now - node->disturbed_at >= CONTACT_USEC)
    reading_check_evacuation (sim, i);
  if (!node->is_up || sim->now < node->frozen_until
      || version >= reading_newest (sim))
    return;
  lacks_usec = sim->now - g_array_index (sim->acked, gint64, version);
  if (lacks_usec > APPLY_BOUND_USEC
      && reading_refusal (sim, i) == REASON_NO_RULE)
    sim->false_count++;
  if (sim->now - node->disturbed_at < CONTACT_USEC)
    return;
  sim->worst_usec = MAX (sim->worst_usec, lacks_usec);
  sim->late_count += lacks_usec > APPLY_BOUND_USEC;
}

#endif
