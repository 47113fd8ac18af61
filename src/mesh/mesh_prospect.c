#include "mesh/mesh_parts.h"
#include "serve/service_prospect.h"

/* Refusal at the entry node of requests for which no server can have a slot in
   time.  */

/* Return what the reports of PEER, the node beside a server, say of a slot for
   REQUEST.  What waits there goes before the request for certain only if the
   request is of the last class.  */
static struct server_prospect
server_of (const struct peer_state *peer, const struct mesh_request *request,
           gint64 now)
{
  struct server_prospect server
      = { .load = &peer->load,
          .age_usec
          = peer->load_reported_at != 0 ? now - peer->load_reported_at : -1,
          .waiting_first = request->request.priority == PRIORITY_LOW
                           && !request->request.is_call };

  return server;
}

/* Add the server of MEMBER, with the handle H, to PROSPECT for REQUEST.  */
static void
add_member (struct mesh *mesh, const struct fleet_member *member,
            struct handle h, const struct mesh_request *request, gint64 now,
            struct service_prospect *prospect)
{
  const struct peer_state *peer = table_get (&mesh->peers, h);
  struct server_prospect server;

  if (strcmp (member->name, mesh->settings.name) == 0)
    {
      service_prospect_add_wait (
          prospect,
          admission_forecast (&mesh->admission, &request->request, now)
              .wait_usec);
      return;
    }
  if (peer == NULL)
    {
      service_prospect_add_wait (prospect, 0);
      return;
    }
  server = server_of (peer, request, now);
  service_prospect_add (prospect, &server);
}

/* Return when any server of the service of REQUEST, which would be sent to
   MEMBER, may have a slot, if that is known to be after the request's
   deadline; otherwise 0.  All servers are examined only if MEMBER has none in
   time; those of evacuated data centres get no requests.  */
static gint64
hopeless_usec (struct mesh *mesh, const struct mesh_request *request,
               struct handle member, gint64 now)
{
  const struct peer_state *picked = table_get (&mesh->peers, member);
  gint64 left_usec = request->request.deadline - now;
  struct service_prospect prospect;
  struct server_prospect server;
  struct handle h;

  if (picked == NULL || mesh_is_sharded (mesh, request->request.service))
    return 0;
  service_prospect_init (&prospect);
  server = server_of (picked, request, now);
  service_prospect_add (&prospect, &server);
  if (!service_prospect_is_hopeless (&prospect, left_usec))
    return 0;
  h = table_next (&mesh->fleet.members, HANDLE_NONE);
  for (; handle_is_set (h); h = table_next (&mesh->fleet.members, h))
    {
      const struct fleet_member *other
          = fleet_state_member_at (&mesh->fleet, h);
      if (strcmp (other->service, request->request.service) == 0
          && other->state == MEMBER_READY && !mesh_is_evacuated (mesh, other))
        add_member (mesh, other, h, request, now, &prospect);
    }
  return service_prospect_is_hopeless (&prospect, left_usec)
             ? prospect.earliest_usec
             : 0;
}

/* Refuse the request EXCHANGE, which would be sent to MEMBER, if no server of
   its service is known to have a slot before its deadline.  Return whether it
   was refused.  */
gboolean
mesh_prospect_refuse (struct mesh *mesh, struct handle exchange,
                      struct handle member, gint64 now, struct actions *out)
{
  const struct mesh_request *request = table_get (&mesh->requests, exchange);
  gint64 wait_usec = hopeless_usec (mesh, request, member, now);

  if (wait_usec == 0)
    return FALSE;
  mesh_log (out, LOG_EVENT_MESH_REFUSE, request->request.id,
            "reason=%s service=%s rank=%d wait_ms=%" G_GINT64_FORMAT
            " left_ms=%" G_GINT64_FORMAT " call=%d at=entry",
            reason_name (REASON_OVERLOAD), request->request.service,
            (int)request->request.priority, wait_usec / USEC_PER_MSEC,
            (request->request.deadline - now) / USEC_PER_MSEC,
            request->request.is_call);
  mesh_refuse (mesh, exchange, REASON_OVERLOAD, wait_usec, now, out);
  return TRUE;
}
