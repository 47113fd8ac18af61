#include "mesh/mesh_parts.h"

/* Time limit of a grant.  The server is on this host and answers at once; a
   grant without an answer is repeated.  */
#define GRANT_CALL_USEC ((gint64)400000)

/* Time limit of a release, which the server answers when the running requests
   have ended.  A longer one is repeated.  */
#define RELEASE_CALL_USEC ((gint64)1500000)

/* Return until when the server may be granted keys by a call at NOW, 0 if it
   may be granted none.  The grant counts from the arrival of the call and must
   end before the session.  */
static gint64
grant_end (const struct mesh *mesh, gint64 now)
{
  gint64 usec = mesh_session_usec (mesh, now) - GRANT_CALL_USEC;

  usec = MIN (usec, mesh->settings.max_grant_usec);
  usec = usec * 100 / (100 + GRANT_DRIFT_PERCENT);
  return usec >= GRANT_MIN_USEC ? now + usec : 0;
}

/* Return whether the server gets calls now.  Which instance it is shows only
   its first heartbeat.  */
static gboolean
takes_orders (const struct mesh *mesh)
{
  return mesh->grant.method == GRANT_BY_CALL && mesh->grant.heartbeat_received
         && !mesh->grant.presumed_dead;
}

/* Send ORDER, number SERIAL.  */
static void
send_order (struct mesh *mesh, guint64 serial, const struct key_order *order,
            gint64 now, struct actions *out)
{
  struct action_key_order *action
      = &actions_add (out, ACTION_KEY_ORDER)->u.key_order;

  action->serial = serial;
  action->order = *order;
  g_strlcpy (action->order.server, mesh->grant.instance.id,
             sizeof action->order.server);
  switch (order->kind)
    {
    case KEY_ORDER_GRANT:
      action->deadline = now + GRANT_CALL_USEC;
      grant_on_order_sent (&mesh->grant,
                           action->deadline
                               + (order->granted_until - now)
                                     * (100 + GRANT_DRIFT_PERCENT) / 100);
      break;
    case KEY_ORDER_RELEASE:
      action->deadline = now + RELEASE_CALL_USEC;
      break;
    }
}

/* Send the orders that are due.  */
void
mesh_orders_step (struct mesh *mesh, gint64 now, struct actions *out)
{
  struct key_order order;

  if (!takes_orders (mesh))
    return;
  while (lease_book_next_order (&mesh->grant.u.calls, mesh->last_serial + 1,
                                grant_end (mesh, now), now, &order))
    send_order (mesh, ++mesh->last_serial, &order, now, out);
}

/* Compare what the server was granted by calls with the shard map, and send
   the orders that are due.  If MAY_BALANCE is set, handoffs are planned before
   that.  */
static void
update (struct mesh *mesh, gboolean may_balance, gint64 now,
        struct actions *out)
{
  const struct shard_map *map
      = fleet_state_map (&mesh->fleet, mesh->settings.service);
  struct shard_owner owner = { mesh->settings.name,
                               &mesh->grant,
                               NULL,
                               now,
                               mesh_evacuation_releases_keys (mesh, now),
                               0 };
  struct shard_map grantable;
  GArray *candidates;
  GArray *pieces;

  if (!takes_orders (mesh) || map == NULL || !mesh->initial_read_done)
    return;
  candidates = mesh_candidates (mesh, mesh->settings.service, now);
  pieces = g_array_new (FALSE, TRUE, sizeof (struct lease_piece));
  owner.candidates = candidates;
  grantable = mesh_grantable_map (mesh, map, candidates, now);
  if (may_balance)
    {
      mesh_balance (mesh, &grantable, candidates, now, out);
      mesh_handoffs_apply (mesh, &grantable, candidates, now);
    }
  shard_lease_pieces (&grantable, &owner, pieces);
  lease_book_update (&mesh->grant.u.calls,
                     (const struct lease_piece *)pieces->data, pieces->len,
                     now);
  shard_map_clear (&grantable);
  g_array_free (pieces, TRUE);
  g_array_free (candidates, TRUE);
  mesh_orders_step (mesh, now, out);
}

/* Send the orders that are due after a change of what the server may be
   granted.  */
void
mesh_orders_update (struct mesh *mesh, gint64 now, struct actions *out)
{
  update (mesh, FALSE, now, out);
}

/* Plan handoffs of the server's keys and send the orders that are due.  */
void
mesh_orders_on_heartbeat (struct mesh *mesh, gint64 now, struct actions *out)
{
  update (mesh, TRUE, now, out);
}

/* Log the end of the order in RESULT unless it is a renewal that was
   granted.  */
static void
log_order (struct mesh *mesh, const struct key_order_result *result,
           gint64 now, struct actions *out)
{
  const struct key_order *order = &result->order;

  if (result->code == ERR_NONE && order->kind == KEY_ORDER_GRANT
      && grant_covers_key (&mesh->grant, order->first, now))
    return;
  mesh_log (out, LOG_EVENT_MESH_ORDER, order->server,
            "kind=%s first=%u last=%u fence=%" G_GUINT64_FORMAT
            " outcome=%s hold_ms=%" G_GINT64_FORMAT,
            order->kind == KEY_ORDER_GRANT ? "grant" : "release", order->first,
            order->last, order->fence, err_name (result->code),
            MAX (0, order->granted_until - now) / USEC_PER_MSEC);
}

/* Return what CODE, with which an order ended, says of the server.  */
static enum reason
reason_of (enum err code)
{
  switch (code)
    {
    case ERR_NOT_FOUND:
      return REASON_MISDIRECTED;
    case ERR_REFUSED:
      return REASON_SERVER_DOWN;
    default:
      return REASON_NONE;
    }
}

/* Process RESULT, the end of an order.  */
void
mesh_order_ended (struct mesh *mesh, const struct key_order_result *result,
                  gint64 now, struct actions *out)
{
  gboolean released;

  if (mesh->grant.method != GRANT_BY_CALL)
    return;
  log_order (mesh, result, now, out);
  if (strcmp (result->order.server, mesh->grant.instance.id) == 0)
    mesh_check_server_gone (mesh, reason_of (result->code), now, out);
  released = lease_book_on_ended (&mesh->grant.u.calls, result, now);
  if (released)
    mesh_plan_step (mesh, now, out);
  else if (result->code == ERR_NONE)
    mesh_route_waiting (mesh, TRUE, now, out);
  mesh_orders_step (mesh, now, out);
}
