#include "bench/scale.h"
#include "decide/core.h"
#include "decide/timing.h"
#include "wire/wire_peer.h"
#include "wire/wire_rpc.h"

#include <stdio.h>
#include <string.h>

/* What the control work of one node costs by the size of the fleet: a tick
   with nothing to do, a renewal as holder and as witness, and the bytes of a
   renewal on the wire.  */

#define ROUNDS 4096u     /* plans made at most */
#define TICKS 200u       /* ticks timed, TICK_INTERVAL_USEC apart */
#define RENEWALS 2000u   /* renewals timed */
#define PACKET_BYTES 54u /* Ethernet, IP and TCP headers */

/* Give EVENT to CORE at NOW and drop what it wants done.  */
static void
step (struct core *core, const struct event *event, gint64 now)
{
  struct actions out;

  actions_init (&out);
  core_step (core, event, now, &out);
  actions_clear (&out);
}

/* Make CORE the node numbered 1 of FLEET, with the view of FLEET, which
   FLEET gives up, and three witnesses.  */
static void
become_first (struct core *core, struct fleet *fleet)
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

/* Time ticks with nothing to do: as first planner, and as one of the many
   that do not plan.  */
static void
time_ticks (struct core *core, guint32 nodes, const char *what)
{
  struct event event = { .kind = EVENT_TICK };
  struct scale_start mark = scale_begin ();
  struct scale_cost cost;
  guint32 i;

  for (i = 1; i <= TICKS; i++)
    step (core, &event, G_USEC_PER_SEC + i * TICK_INTERVAL_USEC);
  cost = scale_end (mark);
  scale_print (what, nodes, (gdouble)cost.cpu_usec / TICKS, "usec");
  scale_print ("ticks, share of a core", nodes,
               100.0 * (gdouble)cost.cpu_usec / (TICKS * TICK_INTERVAL_USEC),
               "%");
}

/* Time renewals that this node acks as witness.  */
static void
time_witness (struct core *core, guint32 nodes)
{
  struct event event = { .kind = EVENT_PEER_CALL };
  struct peer_call *call = &event.u.peer_call.body;
  struct scale_start mark = scale_begin ();
  struct scale_cost cost;
  guint32 i;

  call->kind = PEER_RENEW;
  call->target_incarnation = 1;
  for (i = 1; i <= RENEWALS; i++)
    {
      call->u.renew.incarnation = 2 + i % 3;
      call->u.renew.round = i;
      step (core, &event, 20 * G_USEC_PER_SEC + i);
    }
  cost = scale_end (mark);
  scale_print ("renewal at the witness, decision", nodes,
               (gdouble)cost.cpu_usec / RENEWALS, "usec");
}

/* Print the bytes of one renewal on the wire and the time to encode and
   decode them.  */
static void
print_wire (void)
{
  struct peer_call call = { .kind = PEER_RENEW };
  struct peer_reply reply = { .kind = PEER_RENEW };
  GByteArray *bytes = g_byte_array_new ();
  struct scale_start mark;
  struct scale_cost cost;
  guint32 i;

  rpc_write_call (bytes, 1, RPC_PEER, wire_peer_call, &call);
  scale_print ("renewal, call", 0, bytes->len + PACKET_BYTES, "bytes");
  g_byte_array_set_size (bytes, 0);
  rpc_write_reply (bytes, 1, ERR_NONE, wire_peer_reply, &reply);
  scale_print ("renewal, reply", 0, bytes->len + PACKET_BYTES, "bytes");
  mark = scale_begin ();
  for (i = 0; i < RENEWALS; i++)
    {
      GByteArray *body = wire_encode (wire_peer_call, &call, 65536);
      wire_decode (wire_peer_call, &call, body->data, body->len);
      g_byte_array_unref (body);
    }
  cost = scale_end (mark);
  scale_print ("renewal, encode and decode", 0,
               (gdouble)cost.cpu_usec / RENEWALS, "usec");
  g_byte_array_unref (bytes);
}

/* Measure a node among NODES.  */
static void
run_size (guint32 nodes)
{
  struct planner planner;
  struct fleet fleet;
  struct core core;

  fleet_init (&fleet, nodes * SCALE_SLICES_PER_NODE);
  scale_join_all (&fleet, nodes);
  planner_init (&planner);
  fleet_plan (&fleet, &planner, 1, ROUNDS);
  planner_clear (&planner);
  become_first (&core, &fleet);
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
