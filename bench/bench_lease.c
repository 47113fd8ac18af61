#include "bench/scale.h"
#include "decide/core.h"
#include "decide/timing.h"
#include "wire/wire_peer.h"
#include "wire/wire_rpc.h"

#include <stdio.h>
#include <string.h>

/* What the control work of one node costs by the number of nodes in the fleet:
   the CPU time of a tick with nothing to do and of a renewal that the node
   acks as witness, and the bytes of a renewal on the wire.  */

#define MAX_PLANS 4096u     /* upper bound on the plans made */
#define TICK_COUNT 200u     /* ticks timed, TICK_INTERVAL_USEC apart */
#define RENEWAL_COUNT 2000u /* renewals timed */
#define HEADER_BYTES 54u    /* Ethernet, IP and TCP headers of a packet */

/* Pass EVENT to CORE at time NOW in microseconds and discard the resulting
   actions.  */
static void
step (struct core *core, const struct event *event, gint64 now)
{
  struct actions actions;

  actions_init (&actions);
  core_step (core, event, now, &actions);
  actions_clear (&actions);
}

/* Initialize CORE as the node with incarnation 1 of FLEET, with three
   witnesses.  Moves the view from FLEET to CORE and leaves FLEET with an empty
   one.  */
static void
init_first_node (struct core *core, struct fleet *fleet)
{
  struct core_settings settings = { .incarnation = 1, .default_slots = 20 };
  struct record record
      = { .version = RECORD_VERSION, .kind = RECORD_WITNESS_SET };
  struct event event = { .kind = EVENT_TICK };

  record.body.witness_set.incarnation = 1;
  record.body.witness_set.witness_count = 3;
  record.body.witness_set.witnesses[0] = 2;
  record.body.witness_set.witnesses[1] = 3;
  record.body.witness_set.witnesses[2] = 4;
  fleet_apply (fleet, &record);
  g_strlcpy (settings.service, FLEET_SERVICE, sizeof settings.service);
  core_init (core, &settings);
  view_clear (&core->view);
  core->view = fleet->view;
  view_init (&fleet->view);
  core->has_reached_log_end = TRUE;
  step (core, &event, G_USEC_PER_SEC);
}

/* Print the CPU time of a tick with nothing to do, under LABEL, and the share
   of a processor core used by ticks TICK_INTERVAL_USEC apart.  */
static void
time_ticks (struct core *core, guint32 nodes, const char *label)
{
  struct event event = { .kind = EVENT_TICK };
  struct scale_start start = scale_begin ();
  struct scale_cost cost;
  guint32 i;

  for (i = 1; i <= TICK_COUNT; i++)
    step (core, &event, G_USEC_PER_SEC + i * TICK_INTERVAL_USEC);
  cost = scale_end (start);
  scale_print (label, nodes, (gdouble)cost.cpu_usec / TICK_COUNT, "usec");
  scale_print (
      "ticks, share of a core", nodes,
      100.0 * (gdouble)cost.cpu_usec / (TICK_COUNT * TICK_INTERVAL_USEC), "%");
}

/* Print the CPU time in which CORE, as witness, decides on a renewal.  */
static void
time_witness (struct core *core, guint32 nodes)
{
  struct event event = { .kind = EVENT_PEER_CALL };
  struct peer_call *call = &event.u.peer_call.body;
  struct scale_start start = scale_begin ();
  struct scale_cost cost;
  guint32 i;

  call->kind = PEER_RENEW;
  call->target_incarnation = 1;
  for (i = 1; i <= RENEWAL_COUNT; i++)
    {
      call->u.renew.incarnation = 2 + i % 3;
      call->u.renew.round = i;
      step (core, &event, 20 * G_USEC_PER_SEC + i);
    }
  cost = scale_end (start);
  scale_print ("renewal at the witness, decision", nodes,
               (gdouble)cost.cpu_usec / RENEWAL_COUNT, "usec");
}

/* Print the bytes of one renewal on the wire, packet headers included, and the
   CPU time to encode and decode its body.  */
static void
print_wire (void)
{
  struct peer_call call = { .kind = PEER_RENEW };
  struct peer_reply reply = { .kind = PEER_RENEW };
  GByteArray *bytes = g_byte_array_new ();
  struct scale_start start;
  struct scale_cost cost;
  guint32 i;

  rpc_write_call (bytes, 1, RPC_PEER, wire_peer_call, &call);
  scale_print ("renewal, call", 0, bytes->len + HEADER_BYTES, "bytes");
  g_byte_array_set_size (bytes, 0);
  rpc_write_reply (bytes, 1, ERR_NONE, wire_peer_reply, &reply);
  scale_print ("renewal, reply", 0, bytes->len + HEADER_BYTES, "bytes");
  start = scale_begin ();
  for (i = 0; i < RENEWAL_COUNT; i++)
    {
      GByteArray *body = wire_encode (wire_peer_call, &call, 65536);
      wire_decode (wire_peer_call, &call, body->data, body->len);
      g_byte_array_unref (body);
    }
  cost = scale_end (start);
  scale_print ("renewal, encode and decode", 0,
               (gdouble)cost.cpu_usec / RENEWAL_COUNT, "usec");
  g_byte_array_unref (bytes);
}

/* Measure one node in a fleet of NODES nodes.  */
static void
run_size (guint32 nodes)
{
  struct planner planner;
  struct fleet fleet;
  struct core core;

  fleet_init (&fleet, nodes * SCALE_SLICES_PER_NODE);
  scale_join_all (&fleet, nodes);
  planner_init (&planner);
  fleet_plan (&fleet, &planner, 1, MAX_PLANS);
  planner_clear (&planner);
  init_first_node (&core, &fleet);
  time_ticks (&core, nodes, "tick with nothing to do");
  time_witness (&core, nodes);
  core_clear (&core);
  fleet_clear (&fleet);
}

int
main (void)
{
  guint i;

  printf ("| what | nodes | value | unit |\n|---|---|---|---|\n");
  print_wire ();
  for (i = 0; i < G_N_ELEMENTS (scale_node_counts); i++)
    run_size (scale_node_counts[i]);
  return 0;
}
