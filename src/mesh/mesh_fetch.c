#include "mesh/mesh_parts.h"

/* A node that lags behind a peer for this long fetches the records from that
   peer.  A read of the store by the node itself, if there is one, should have
   brought the records by then.  */
#define FETCH_AFTER_USEC ((gint64)150000)
#define FETCH_INTERVAL_USEC ((gint64)100000) /* between fetches */
#define FETCH_TIMEOUT_USEC ((gint64)900000)  /* until a fetch fails */
/* The same of a fetch that brings a configuration, which is long: an answer
   that a busy link holds up is still of use.  */
#define CONFIG_FETCH_TIMEOUT_USEC ((gint64)6000000)
/* Until a node that has not answered is asked again.  */
#define CONFIG_FETCH_REPEAT_USEC ((gint64)1400000)
/* Until another node is asked for the configuration too: the first one may
   have stopped.  */
#define CONFIG_FETCH_ALONE_USEC ((gint64)400000)

/* Add a call to the member H at the address TO.  The kind and the body of the
   call are left to be filled in.  */
struct action_mesh_call *
mesh_add_call (struct mesh *mesh, struct handle h, struct address to,
               gint64 deadline, struct actions *out)
{
  struct action_mesh_call *action
      = &actions_add (out, ACTION_MESH_CALL)->u.mesh_call;

  action->serial = ++mesh->last_serial;
  action->member = h;
  action->address = to;
  action->deadline = deadline;
  return action;
}

/* Return the latest fetch that is to bring a configuration.  */
const struct mesh_config_fetch *
mesh_latest_config_fetch (const struct mesh *mesh)
{
  return &mesh->config_fetches[mesh->config_fetch_count % MESH_CONFIG_FETCHES];
}

/* Return whether a fetch is on its way that was sent not long ago and is to
   bring a configuration.  */
static gboolean
is_fetching_config (const struct mesh *mesh, gint64 now)
{
  const struct mesh_config_fetch *latest = mesh_latest_config_fetch (mesh);

  return latest->serial != 0 && now < latest->alone_until;
}

/* Return whether the member H was asked for a configuration a short time ago
   and has not answered yet.  */
static gboolean
is_asked_for_config (const struct mesh *mesh, struct handle h, gint64 now)
{
  guint i;

  for (i = 0; i < MESH_CONFIG_FETCHES; i++)
    {
      const struct mesh_config_fetch *fetch = &mesh->config_fetches[i];
      if (fetch->serial != 0 && handle_equal (fetch->member, h)
          && now - fetch->sent_at < CONFIG_FETCH_REPEAT_USEC)
        return TRUE;
    }
  return FALSE;
}

/* Return whether the member H may have a newer configuration than this node.
   Nothing is known of a node that is no member yet.  */
static gboolean
may_have_newer_config (const struct mesh *mesh, struct handle h)
{
  const struct peer_state *peer = table_get (&mesh->peers, h);

  return peer == NULL || peer->config_version > mesh_routing_version (mesh);
}

/* Return whether a fetch from the member H is to ask for a configuration.  For
   a while only one does: each node that has a newer one would send it in full,
   and slow links would carry nothing else.  A member that has yet to answer
   may have stopped, and does not take the place of others.  */
static gboolean
asks_for_config (const struct mesh *mesh, struct handle h, gint64 now)
{
  return !is_fetching_config (mesh, now) && may_have_newer_config (mesh, h)
         && !(handle_is_set (h) && is_asked_for_config (mesh, h, now));
}

/* Note that the call SERIAL asks the member H for a configuration.  */
static void
start_config_fetch (struct mesh *mesh, struct handle h, guint64 serial,
                    gint64 now)
{
  const struct peer_state *peer = table_get (&mesh->peers, h);

  mesh->config_fetch_count++;
  mesh->config_fetches[mesh->config_fetch_count % MESH_CONFIG_FETCHES]
      = (struct mesh_config_fetch){ .serial = serial,
                                    .member = h,
                                    .source
                                    = peer != NULL ? peer->incarnation : 0,
                                    .version = mesh_routing_version (mesh),
                                    .sent_at = now,
                                    .alone_until
                                    = now + CONFIG_FETCH_ALONE_USEC };
}

/* Remember to fetch from the member H soon.  A node that has a newer
   configuration is not displaced by one that is ahead by records only.  */
static void
defer_fetch (struct mesh *mesh, struct handle h)
{
  if (mesh->fetch_deferred && !may_have_newer_config (mesh, h)
      && may_have_newer_config (mesh, mesh->deferred_fetch_member))
    return;
  mesh->fetch_deferred = TRUE;
  mesh->deferred_fetch_member = h;
}

/* Fetch the records and the configuration that this node lacks from the node
   at FROM.  H is the handle of that node, if it is a known member.  */
void
mesh_fetch (struct mesh *mesh, struct handle h, struct address from,
            gint64 now, struct actions *out)
{
  struct action_mesh_call *action;

  if (now - mesh->last_fetch_at < FETCH_INTERVAL_USEC)
    {
      defer_fetch (mesh, h);
      return;
    }
  mesh->fetch_deferred = FALSE;
  mesh->last_fetch_at = now;
  if (!asks_for_config (mesh, h, now))
    {
      action = mesh_add_call (mesh, h, from, now + FETCH_TIMEOUT_USEC, out);
      action->call.u.fetch.config_version = FETCH_NO_CONFIG;
    }
  else
    {
      gint64 until = now + CONFIG_FETCH_TIMEOUT_USEC;
      action = mesh_add_call (mesh, h, from, until, out);
      action->call.u.fetch.config_version = mesh_routing_version (mesh);
      start_config_fetch (mesh, h, action->serial, now);
    }
  action->call.kind = MESH_FETCH;
  action->call.u.fetch.applied_offset = mesh->fleet.applied_offset;
  action->call.u.fetch.accepts_patches = !mesh->refuses_patches;
  action->call.u.fetch.accepts_deflate = TRUE;
}

/* Fetch from the member H if that member has been ahead of this node for
   FETCH_AFTER_USEC.  The wait is skipped if this node cannot or does not read
   the store itself.  */
void
mesh_fetch_if_behind (struct mesh *mesh, struct handle h, struct address from,
                      gint64 now, struct actions *out)
{
  struct peer_state *peer = table_get (&mesh->peers, h);

  if (peer->applied_offset <= mesh->fleet.applied_offset
      && peer->config_version <= mesh_routing_version (mesh))
    {
      peer->ahead_since = 0;
      return;
    }
  if (peer->ahead_since == 0)
    peer->ahead_since = now;
  if (now - peer->ahead_since >= FETCH_AFTER_USEC || mesh->store_lost
      || !mesh_reads_fleet (mesh, now))
    mesh_fetch (mesh, h, from, now, out);
}

/* Return the member to ask next for a newer configuration: of those that have
   one the one that was heard last, since the others may have stopped;
   HANDLE_NONE if there is none.  */
static struct handle
next_config_member (const struct mesh *mesh, gint64 now)
{
  struct handle h = table_next (&mesh->peers, HANDLE_NONE);
  struct handle best = HANDLE_NONE;
  gint64 best_heard_at = 0;

  for (; handle_is_set (h); h = table_next (&mesh->peers, h))
    {
      const struct peer_state *peer = table_get (&mesh->peers, h);
      if (peer->config_version <= mesh_routing_version (mesh)
          || peer->last_message_at <= best_heard_at
          || is_asked_for_config (mesh, h, now))
        continue;
      best = h;
      best_heard_at = peer->last_message_at;
    }
  return best;
}

/* Return whether the latest fetch of a configuration was sent some time ago
   and has not brought this node up to date.  */
static gboolean
is_config_overdue (const struct mesh *mesh, gint64 now)
{
  const struct mesh_config_fetch *latest = mesh_latest_config_fetch (mesh);

  return mesh->newest_config.behind_since != 0 && latest->alone_until != 0
         && now >= latest->alone_until;
}

/* Make the fetch that was deferred, if it is due and still needed, or ask
   another node for a configuration that is overdue.  */
void
mesh_fetch_step (struct mesh *mesh, gint64 now, struct actions *out)
{
  struct handle h = HANDLE_NONE;
  const struct fleet_member *member;

  if (now - mesh->last_fetch_at < FETCH_INTERVAL_USEC)
    return;
  if (mesh->fetch_deferred)
    h = mesh->deferred_fetch_member;
  else if (is_config_overdue (mesh, now))
    h = next_config_member (mesh, now);
  mesh->fetch_deferred = FALSE;
  member = fleet_state_member_at (&mesh->fleet, h);
  if (member != NULL && table_get (&mesh->peers, h) != NULL)
    mesh_fetch_if_behind (mesh, h, member->peer_address, now, out);
}

/* Log the end of FETCH, as EVENT says.  */
static void
log_fetch (struct mesh *mesh, const struct mesh_config_fetch *fetch,
           const struct event_mesh_reply *event, gint64 now,
           struct actions *out)
{
  const struct mesh_fetch_reply *brought = &event->reply->u.fetch;
  gboolean has_reply = event->reply->code == ERR_NONE;

  mesh_log (out, LOG_EVENT_MESH_FETCH, mesh_process_name (mesh, fetch->source),
            "outcome=%s had=%" G_GUINT64_FORMAT " version=%" G_GUINT64_FORMAT
            " bytes=%u took_ms=%" G_GINT64_FORMAT " read_ms=%" G_GINT64_FORMAT
            " behind_ms=%" G_GINT64_FORMAT,
            err_name (event->reply->code), fetch->version,
            has_reply ? brought->config_version : 0,
            has_reply ? brought->config_length : 0,
            mesh_age_msec (fetch->sent_at, event->received_at),
            mesh_age_msec (event->received_at, now),
            mesh_behind_msec (mesh, now));
}

/* Process the end of a fetch, with or without a reply.  */
void
mesh_fetch_ended (struct mesh *mesh, const struct event_mesh_reply *event,
                  gint64 now, struct actions *out)
{
  guint i;

  for (i = 0; i < MESH_CONFIG_FETCHES; i++)
    {
      struct mesh_config_fetch *fetch = &mesh->config_fetches[i];
      if (fetch->serial != event->serial)
        continue;
      log_fetch (mesh, fetch, event, now, out);
      fetch->serial = 0;
    }
}
