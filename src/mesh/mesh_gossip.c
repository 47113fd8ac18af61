#include "mesh/mesh_parts.h"

#define GOSSIP_INTERVAL_USEC ((gint64)300000) /* between calls to a node */
#define GOSSIP_TIMEOUT_USEC ((gint64)700000)  /* until a call fails */
#define MISSED_REPLIES_MAX 2u /* in a row until the connection is dropped */

/* Interval between calls to a node that is unresponsive, and to one that lags
   behind this node.  */
#define UNRESPONSIVE_INTERVAL_USEC ((gint64)1000000)
#define LAGGING_INTERVAL_USEC ((gint64)50000)

/* A node that is watched but normally called by others is called after this
   long without a message from it.  */
#define QUIET_PROBE_USEC ((gint64)450000)

/* Sending */

/* Fill GOSSIP with the state of this node.  */
static void
describe_self (struct mesh *mesh, gint64 now, struct gossip *gossip)
{
  memset (gossip, 0, sizeof *gossip);
  g_strlcpy (gossip->name, mesh->settings.name, sizeof gossip->name);
  gossip->address = mesh->settings.peer_address;
  gossip->incarnation = mesh->settings.incarnation;
  gossip->sequence = ++mesh->last_gossip_sequence;
  gossip->applied_offset = mesh->fleet.applied_offset;
  gossip->confirmed_age_usec
      = freshness_age_usec (&mesh->freshness[MESH_TOPIC_FLEET], now);
  gossip->config_version = mesh_routing_version (mesh);
  gossip->config_confirmed_age_usec = mesh_routing_age_usec (mesh, now);
  gossip->config_source = mesh->freshness[MESH_TOPIC_CONFIG].source;
  mesh_duty_fill_gossip (mesh, gossip, now);
  gossip->leaving = mesh->stop_requested_at != 0;
  gossip->store_lost = mesh->store_lost;
  gossip->load = mesh_load_report (mesh, now);
  gossip->evacuated = mesh->evacuations.zones;
  mesh_report_fill (mesh, gossip, now);
}

/* Return whether PEER is told at once of what this node has read.  In a fleet
   in which not all nodes are neighbours only those are that this node calls
   anyway: the others hear of it from the nodes that call them.  */
static gboolean
is_told_at_once (const struct mesh *mesh, const struct peer_state *peer)
{
  return peer->is_gossip_target
         || (peer->is_neighbour
             && mesh->ring.neighbour_count <= 2 * RING_ADJACENT);
}

/* Return whether PEER lacks records, a configuration or evacuations that this
   node has, or may not know that a duty of reading was given up, and was not
   told yet.  A message that is lost is made up for by the next regular one. */
static gboolean
is_lagging (const struct mesh *mesh, const struct peer_state *peer)
{
  return is_told_at_once (mesh, peer) && peer->last_message_at != 0
         && ((peer->applied_offset < mesh->fleet.applied_offset
              && peer->announced_offset < mesh->fleet.applied_offset)
             || (peer->config_version < mesh_routing_version (mesh)
                 && peer->announced_version < mesh_routing_version (mesh))
             || (peer->evacuations_offset < mesh->evacuations.changed_offset
                 && peer->announced_evacuations
                        < mesh->evacuations.changed_offset)
             || peer->announced_given_up < mesh->duties_given_up);
}

/* Return whether PEER is to be called now.  */
static gboolean
is_due (const struct mesh *mesh, const struct peer_state *peer, gint64 now)
{
  gint64 elapsed = now - peer->gossip_sent_at;

  if (peer->gossip_pending || !peer->is_watched)
    return FALSE;
  if (peer->is_unresponsive)
    return elapsed >= UNRESPONSIVE_INTERVAL_USEC;
  if (is_lagging (mesh, peer))
    return elapsed >= LAGGING_INTERVAL_USEC;
  if (peer->is_gossip_target)
    return elapsed >= GOSSIP_INTERVAL_USEC;
  return elapsed >= GOSSIP_INTERVAL_USEC
         && now - peer_state_last_message_at (peer) >= QUIET_PROBE_USEC;
}

/* Send gossip to the peers for which it is due, and make a deferred fetch.  */
void
mesh_gossip_step (struct mesh *mesh, gint64 now, struct actions *out)
{
  struct handle h = table_next (&mesh->peers, HANDLE_NONE);

  mesh_fetch_step (mesh, now, out);
  for (; handle_is_set (h); h = table_next (&mesh->peers, h))
    {
      struct peer_state *peer = table_get (&mesh->peers, h);
      struct action_mesh_call *action;
      const struct fleet_member *member;
      if (peer->gossip_pending
          && now - peer->gossip_sent_at >= 2 * GOSSIP_TIMEOUT_USEC)
        peer->gossip_pending = FALSE;
      if (!is_due (mesh, peer, now))
        continue;
      member = fleet_state_member_at (&mesh->fleet, h);
      if (member == NULL)
        continue;
      peer->gossip_pending = TRUE;
      peer->gossip_sent_at = now;
      peer->announced_offset = mesh->fleet.applied_offset;
      peer->announced_version = mesh_routing_version (mesh);
      peer->announced_given_up = mesh->duties_given_up;
      peer->announced_evacuations = mesh->evacuations.zones.offset;
      action = mesh_add_call (mesh, h, member->peer_address,
                              now + GOSSIP_TIMEOUT_USEC, out);
      peer->gossip_serial = action->serial;
      action->call.kind = MESH_GOSSIP;
      describe_self (mesh, now, &action->call.u.gossip);
    }
}

/* Receiving */

/* Process GOSSIP from the node H.  A node without any records, such as one
   that starts while the store does not answer, knows no members; such a node
   fetches from the first one that calls.  */
static void
on_gossip (struct mesh *mesh, struct handle h, const struct gossip *gossip,
           gint64 now, struct actions *out)
{
  struct peer_state *peer = table_get (&mesh->peers, h);

  mesh_newest_heard (mesh, gossip->config_version, gossip->incarnation, now);
  if (peer != NULL)
    peer->evacuations_offset = gossip->evacuated.offset;
  mesh_evacuation_on_gossip (mesh, gossip, now, out);
  if (peer == NULL)
    {
      if (gossip->applied_offset > mesh->fleet.applied_offset)
        mesh_fetch (mesh, h, gossip->address, now, out);
      return;
    }
  if (gossip->leaving != peer->is_leaving
      || gossip->store_lost != peer->store_lost)
    {
      mesh_report_mark (peer, now);
      mesh->rank_at = 0;
    }
  peer_state_on_gossip (peer, gossip, now);
  mesh_duty_on_gossip (mesh, gossip, now);
  mesh_report_apply (mesh, gossip, now);
  mesh_fetch_if_behind (mesh, h, gossip->address, now, out);
}

/* Process a call of another node and answer it.  */
void
mesh_on_call (struct mesh *mesh, const struct event_mesh_call *event,
              gint64 now, struct actions *out)
{
  const struct mesh_call *body = event->call;
  struct action *action;

  switch (body->kind)
    {
    case MESH_GOSSIP:
      on_gossip (mesh, fleet_state_find (&mesh->fleet, body->u.gossip.name),
                 &body->u.gossip, now, out);
      action = actions_add (out, ACTION_MESH_REPLY);
      action->u.mesh_reply.link = event->link;
      action->u.mesh_reply.xid = event->xid;
      action->u.mesh_reply.reply.kind = MESH_GOSSIP;
      describe_self (mesh, now, &action->u.mesh_reply.reply.u.gossip);
      break;
    case MESH_FETCH:
      action = actions_add (out, ACTION_MESH_FETCH_REPLY);
      action->u.mesh_fetch_reply.link = event->link;
      action->u.mesh_fetch_reply.xid = event->xid;
      action->u.mesh_fetch_reply.fetch = body->u.fetch;
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

/* Count a gossip message to the node H that was not answered.  After
   MISSED_REPLIES_MAX in a row the connection is presumed dead, though the node
   may not be, and dropped; the next call opens a new connection.  */
static void
on_missed_gossip (struct mesh *mesh, struct handle h, struct actions *out)
{
  struct peer_state *peer = table_get (&mesh->peers, h);
  const struct fleet_member *member = fleet_state_member_at (&mesh->fleet, h);

  peer->missed_gossip_count++;
  if (peer->missed_gossip_count % MISSED_REPLIES_MAX == 0 && member != NULL)
    actions_add (out, ACTION_DROP_CONNECTIONS)
        ->u.drop_connections.peer_incarnation
        = member->incarnation;
}

/* Process the reply to a gossip message.  A reply of another node, which has
   the address of the called one now, is not used.  A confirmation of the
   session by the other node holds for this node too if this node has applied
   as many records.  The confirmation was made no earlier than its reported age
   before the gossip message was sent.  */
static void
on_gossip_reply (struct mesh *mesh, const struct event_mesh_reply *event,
                 gint64 now, struct actions *out)
{
  struct handle h = event->member;
  struct peer_state *peer = table_get (&mesh->peers, h);
  const struct mesh_reply *reply = event->reply;
  const struct gossip *gossip = &reply->u.gossip;

  if (peer == NULL || event->serial != peer->gossip_serial)
    return;
  peer->gossip_pending = FALSE;
  if (reply->code != ERR_NONE)
    on_missed_gossip (mesh, h, out);
  if (reply->code != ERR_NONE
      || !handle_equal (h, fleet_state_find (&mesh->fleet, gossip->name)))
    return;
  peer->missed_gossip_count = 0;
  on_gossip (mesh, h, gossip, now, out);
  mesh_routing_on_gossip (mesh, gossip, peer->gossip_sent_at);
  if (gossip->confirmed_age_usec >= 0 && mesh->initial_read_done
      && mesh->fleet.applied_offset >= gossip->applied_offset)
    mesh_session_confirm (
        mesh, peer->gossip_sent_at - gossip->confirmed_age_usec, 0);
}

/* Process a reply of another node, or the failure of the call.  */
void
mesh_on_reply (struct mesh *mesh, const struct event_mesh_reply *event,
               gint64 now, struct actions *out)
{
  struct event_store_appended stored = { .serial = event->serial };

  switch (event->reply->kind)
    {
    case MESH_GOSSIP:
      on_gossip_reply (mesh, event, now, out);
      break;
    case MESH_APPEND:
      stored.code = event->reply->code;
      stored.offset = event->reply->u.append.offset;
      mesh_append_ended (mesh, &stored, now, out);
      break;
    case MESH_FETCH:
      mesh_fetch_ended (mesh, event, now, out);
      break;
    }
}
