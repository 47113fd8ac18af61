#include "mesh/mesh_parts.h"

#define PULSE_EVERY_USEC ((gint64)300000)   /* between calls to one node */
#define PULSE_TIMEOUT_USEC ((gint64)700000) /* for its reply */
#define PULSES_MISSED 2u                    /* until a connection is dropped */
#define PULSE_SLOW_USEC ((gint64)1000000)   /* between calls to a silent one */
#define PULSE_PUSH_USEC ((gint64)50000)     /* between calls to one behind */

/* A watched node that others call, not this one, is called after so long
   without a word from it.  */
#define PULSE_PROBE_USEC ((gint64)450000)

/* A node that a peer is ahead of for so long fetches what it lacks from that
   peer: its own read of the store, if it makes one, should have come then.  */
#define BEHIND_USEC ((gint64)150000)
#define FETCH_EVERY_USEC ((gint64)100000)   /* between fetches */
#define FETCH_TIMEOUT_USEC ((gint64)900000) /* for the reply */

/* The version of the configuration in force, 0 for none.  */
static guint64
config_version (const struct mesh *mesh)
{
  return mesh->routing != NULL ? mesh->routing->version : 0;
}

/* What is said */

/* Say how this node is.  */
static void
describe (struct mesh *mesh, gint64 now, struct gossip *gossip)
{
  memset (gossip, 0, sizeof *gossip);
  g_strlcpy (gossip->name, mesh->settings.name, sizeof gossip->name);
  gossip->address = mesh->settings.peer_address;
  gossip->incarnation = mesh->settings.incarnation;
  gossip->sequence = ++mesh->last_gossip_sequence;
  gossip->applied_offset = mesh->fleet.applied_offset;
  gossip->confirmed_age_usec = session_age_usec (&mesh->session, now);
  gossip->config_version = config_version (mesh);
  gossip->leaving = mesh->stop_requested_at != 0;
  gossip->store_lost = mesh->store_lost;
  gossip->load = mesh_load_report (mesh, now);
  mesh_report_fill (mesh, gossip, now);
}

/* Make a call to the member H at TO; its kind and body are the caller's to
   fill.  */
static struct action_mesh_call *
call (struct mesh *mesh, struct handle h, struct address to, gint64 deadline,
      struct actions *out)
{
  struct action_mesh_call *action
      = &actions_add (out, ACTION_MESH_CALL)->u.mesh_call;

  action->serial = ++mesh->last_serial;
  action->member = h;
  action->address = to;
  action->deadline = deadline;
  return action;
}

/* Tell whether the neighbour UPSTREAM lacks something that this node has.  */
static gboolean
is_behind (const struct mesh *mesh, const struct peer_state *peer_state)
{
  return peer_state->is_neighbour && peer_state->last_message_at != 0
         && (peer_state->applied_offset < mesh->fleet.applied_offset
             || peer_state->config_version < config_version (mesh));
}

/* Tell whether UPSTREAM is to be called.  */
static gboolean
is_due (const struct mesh *mesh, const struct peer_state *peer_state,
        gint64 now)
{
  gint64 since = now - peer_state->gossip_sent_at;

  if (peer_state->gossip_pending || !peer_state->is_watched)
    return FALSE;
  if (peer_state->is_unresponsive)
    return since >= PULSE_SLOW_USEC;
  if (is_behind (mesh, peer_state))
    return since >= PULSE_PUSH_USEC;
  if (peer_state->is_gossip_target)
    return since >= PULSE_EVERY_USEC;
  return since >= PULSE_EVERY_USEC
         && now - peer_state_last_message_at (peer_state) >= PULSE_PROBE_USEC;
}

/* Call the nodes that are due.  */
void
mesh_gossip_step (struct mesh *mesh, gint64 now, struct actions *out)
{
  struct handle h = table_next (&mesh->peers, HANDLE_NONE);

  for (; handle_is_set (h); h = table_next (&mesh->peers, h))
    {
      struct peer_state *peer_state = table_get (&mesh->peers, h);
      struct action_mesh_call *action;
      const struct fleet_member *member;
      if (peer_state->gossip_pending
          && now - peer_state->gossip_sent_at >= 2 * PULSE_TIMEOUT_USEC)
        peer_state->gossip_pending = FALSE;
      if (!is_due (mesh, peer_state, now))
        continue;
      member = fleet_state_member_at (&mesh->fleet, h);
      if (member == NULL)
        continue;
      peer_state->gossip_pending = TRUE;
      peer_state->gossip_sent_at = now;
      action = call (mesh, h, member->peer_address, now + PULSE_TIMEOUT_USEC,
                     out);
      peer_state->gossip_serial = action->serial;
      action->call.kind = MESH_GOSSIP;
      describe (mesh, now, &action->call.u.gossip);
    }
}

/* What is heard */

/* Fetch from the node at FROM, the member H if it is known as one, what it
   knows and this node does not.  */
static void
fetch (struct mesh *mesh, struct handle h, struct address from, gint64 now,
       struct actions *out)
{
  struct action_mesh_call *action;

  if (now - mesh->last_fetch_at < FETCH_EVERY_USEC)
    return;
  mesh->last_fetch_at = now;
  action = call (mesh, h, from, now + FETCH_TIMEOUT_USEC, out);
  action->call.kind = MESH_FETCH;
  action->call.u.fetch.applied_offset = mesh->fleet.applied_offset;
  action->call.u.fetch.config_version = config_version (mesh);
}

/* Fetch from the member H if it has known more for a while.  */
static void
fetch_if_behind (struct mesh *mesh, struct handle h, struct address from,
                 gint64 now, struct actions *out)
{
  struct peer_state *peer_state = table_get (&mesh->peers, h);

  if (peer_state->applied_offset <= mesh->fleet.applied_offset
      && peer_state->config_version <= config_version (mesh))
    {
      peer_state->ahead_since = 0;
      return;
    }
  if (peer_state->ahead_since == 0)
    peer_state->ahead_since = now;
  if (now - peer_state->ahead_since >= BEHIND_USEC || mesh->store_lost
      || !mesh_reads_fleet (mesh, now))
    fetch (mesh, h, from, now, out);
}

/* The node H said how it is.  A node that knows nothing yet, as one does that
   starts while the store does not answer, learns from the first that calls. */
static void
take_pulse (struct mesh *mesh, struct handle h, const struct gossip *gossip,
            gint64 now, struct actions *out)
{
  struct peer_state *peer_state = table_get (&mesh->peers, h);

  if (peer_state == NULL)
    {
      if (gossip->applied_offset > mesh->fleet.applied_offset)
        fetch (mesh, h, gossip->address, now, out);
      return;
    }
  if (gossip->leaving != peer_state->is_leaving
      || gossip->store_lost != peer_state->store_lost)
    mesh_report_mark (peer_state, now);
  peer_state_on_gossip (peer_state, gossip, now);
  mesh_report_apply (mesh, gossip, now);
  fetch_if_behind (mesh, h, gossip->address, now, out);
}

/* Another node calls.  */
void
mesh_on_call (struct mesh *mesh, const struct event_mesh_call *event,
              gint64 now, struct actions *out)
{
  const struct mesh_call *body = event->call;
  struct action *action;

  switch (body->kind)
    {
    case MESH_GOSSIP:
      take_pulse (mesh, fleet_state_find (&mesh->fleet, body->u.gossip.name),
                  &body->u.gossip, now, out);
      action = actions_add (out, ACTION_MESH_REPLY);
      action->u.mesh_reply.link = event->link;
      action->u.mesh_reply.xid = event->xid;
      action->u.mesh_reply.reply.kind = MESH_GOSSIP;
      describe (mesh, now, &action->u.mesh_reply.reply.u.gossip);
      break;
    case MESH_FETCH:
      action = actions_add (out, ACTION_MESH_FETCH_REPLY);
      action->u.fetch_reply.link = event->link;
      action->u.fetch_reply.xid = event->xid;
      action->u.fetch_reply.fetch = body->u.fetch;
      break;
    case MESH_APPEND:
      action = actions_add (out, ACTION_APPEND_FOR_PEER);
      action->u.append_for_peer.link = event->link;
      action->u.append_for_peer.xid = event->xid;
      action->u.append_for_peer.append = body->u.append;
      action->u.append_for_peer.append.bytes
          = g_memdup2 (body->u.append.bytes, body->u.append.length);
      break;
    }
}

/* A pulse to the node H was not answered.  After some in a row the connection
   is taken to be dead, though the node may not be: the next one opens anew. */
static void
miss_pulse (struct mesh *mesh, struct handle h, struct actions *out)
{
  struct peer_state *peer_state = table_get (&mesh->peers, h);
  const struct fleet_member *member = fleet_state_member_at (&mesh->fleet, h);

  peer_state->missed_gossip_count++;
  if (peer_state->missed_gossip_count % PULSES_MISSED == 0 && member != NULL)
    actions_add (out, ACTION_PROBE_CONNECTIONS)->u.suspect.peer_incarnation
        = member->incarnation;
}

/* The node H answered a pulse, or another one that has its address now.  What
   it has confirmed with the store holds for this node too, if this node has
   folded as much; it was confirmed no earlier than its age before the pulse
   was sent.  */
static void
take_pulse_reply (struct mesh *mesh, const struct event_mesh_reply *event,
                  gint64 now, struct actions *out)
{
  struct handle h = event->member;
  struct peer_state *peer_state = table_get (&mesh->peers, h);
  const struct mesh_reply *reply = event->reply;
  const struct gossip *gossip = &reply->u.gossip;

  if (peer_state == NULL || event->serial != peer_state->gossip_serial)
    return;
  peer_state->gossip_pending = FALSE;
  if (reply->code != ERR_NONE)
    miss_pulse (mesh, h, out);
  if (reply->code != ERR_NONE
      || !handle_equal (h, fleet_state_find (&mesh->fleet, gossip->name)))
    return;
  peer_state->missed_gossip_count = 0;
  take_pulse (mesh, h, gossip, now, out);
  if (gossip->confirmed_age_usec >= 0 && mesh->initial_read_done
      && mesh->fleet.applied_offset >= gossip->applied_offset)
    session_confirm (&mesh->session,
                     peer_state->gossip_sent_at - gossip->confirmed_age_usec);
}

/* Another node replied, or will not.  */
void
mesh_on_reply (struct mesh *mesh, const struct event_mesh_reply *event,
               gint64 now, struct actions *out)
{
  struct event_store_appended stored = { .serial = event->serial };

  switch (event->reply->kind)
    {
    case MESH_GOSSIP:
      take_pulse_reply (mesh, event, now, out);
      break;
    case MESH_APPEND:
      stored.code = event->reply->code;
      stored.offset = event->reply->u.append.offset;
      mesh_append_ended (mesh, &stored, now, out);
      break;
    case MESH_FETCH:
      break;
    }
}
