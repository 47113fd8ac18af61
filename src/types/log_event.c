#include "types/log_event.h"

/* An entry of the catalogue of log events.  */
struct log_event_entry
{
  enum log_event_id id; /* number of the event */
  const char *name;     /* name of the event, the same in all versions */
};

static const struct log_event_entry catalogue[] = {
  { LOG_EVENT_ROUTE_OWN, "route-own" },
  { LOG_EVENT_ROUTE_FORWARD, "route-forward" },
  { LOG_EVENT_ROUTE_REFUSED, "route-refused" },
  { LOG_EVENT_ROUTE_RETRY, "route-retry" },
  { LOG_EVENT_ROUTE_ENDED, "route-ended" },
  { LOG_EVENT_ROUTE_QUEUED, "route-queued" },
  { LOG_EVENT_ROUTE_CANCELLED, "route-cancelled" },
  { LOG_EVENT_ONCE_REPEAT, "once-repeat" },
  { LOG_EVENT_ROUTE_BREAKER, "route-breaker" },
  { LOG_EVENT_PLACE_ASSIGN, "place-assign" },
  { LOG_EVENT_PLACE_MOVE, "place-move" },
  { LOG_EVENT_PLACE_OWNED, "place-owned" },
  { LOG_EVENT_PLACE_HOT, "place-hot" },
  { LOG_EVENT_PLACE_RELEASED, "place-released" },
  { LOG_EVENT_PLACE_DROPPED, "place-dropped" },
  { LOG_EVENT_NODE_JOIN, "node-join" },
  { LOG_EVENT_NODE_LEAVING, "node-leaving" },
  { LOG_EVENT_NODE_OUT, "node-out" },
  { LOG_EVENT_LEASE_HELD, "lease-held" },
  { LOG_EVENT_LEASE_LAPSED, "lease-lapsed" },
  { LOG_EVENT_WITNESS_SET, "witness-set" },
  { LOG_EVENT_PROMISE, "promise" },
  { LOG_EVENT_CERTIFICATE, "certificate" },
  { LOG_EVENT_TAKEOVER, "takeover" },
  { LOG_EVENT_CONFIG_FORCE, "config-force" },
  { LOG_EVENT_CONFIG_CONFLICT, "config-conflict" },
  { LOG_EVENT_LOG_DOWN, "log-down" },
  { LOG_EVENT_LOG_UP, "log-up" },
  { LOG_EVENT_SNAPSHOT_WRITTEN, "snapshot-written" },
  { LOG_EVENT_SNAPSHOT_LOADED, "snapshot-loaded" },
  { LOG_EVENT_RECORD_UNKNOWN, "record-unknown" },
  { LOG_EVENT_APPEND_UNSURE, "append-unsure" },
  { LOG_EVENT_SERVER_UP, "server-up" },
  { LOG_EVENT_SERVER_DOWN, "server-down" },
  { LOG_EVENT_SERVER_REFUSED, "server-refused" },
  { LOG_EVENT_SUSPECT, "suspect" },
  { LOG_EVENT_QUARANTINE, "quarantine" },
  { LOG_EVENT_CONNECTION, "connection" },
  { LOG_EVENT_DRAINED, "drained" },
  { LOG_EVENT_MESH_ROUTE, "mesh-route" },
  { LOG_EVENT_MESH_RUN, "mesh-run" },
  { LOG_EVENT_MESH_WAIT, "mesh-wait" },
  { LOG_EVENT_MESH_FAILED, "mesh-failed" },
  { LOG_EVENT_MESH_END, "mesh-end" },
  { LOG_EVENT_MESH_POISON, "mesh-poison" },
  { LOG_EVENT_MESH_REFUSE, "mesh-refuse" },
  { LOG_EVENT_MESH_LIMIT, "mesh-limit" },
  { LOG_EVENT_MESH_BODY, "mesh-body" },
  { LOG_EVENT_MESH_NO_ROUTE, "mesh-no-route" },
  { LOG_EVENT_MESH_ROUTING, "mesh-routing" },
  { LOG_EVENT_MESH_MEMBER, "mesh-member" },
  { LOG_EVENT_MESH_SILENT, "mesh-silent" },
  { LOG_EVENT_MESH_KEYS, "mesh-keys" },
  { LOG_EVENT_MESH_PROPOSE, "mesh-propose" },
  { LOG_EVENT_MESH_PROPOSED, "mesh-proposed" },
  { LOG_EVENT_MESH_BEAT, "mesh-beat" },
  { LOG_EVENT_MESH_SERVER, "mesh-server" },
  { LOG_EVENT_MESH_STORE, "mesh-store" },
  { LOG_EVENT_MESH_SESSION, "mesh-session" },
  { LOG_EVENT_MESH_START, "mesh-start" },
  { LOG_EVENT_MESH_STOP, "mesh-stop" },
  { LOG_EVENT_MESH_SETTINGS, "mesh-settings" },
  { LOG_EVENT_MESH_BAD_INPUT, "mesh-bad-input" },
  { LOG_EVENT_MESH_BALANCE, "mesh-balance" },
  { LOG_EVENT_MESH_ORDER, "mesh-order" },
  { LOG_EVENT_MESH_READING, "mesh-reading" },
  { LOG_EVENT_MESH_EVACUATION, "mesh-evacuation" },
  { LOG_EVENT_MESH_WARMUP, "mesh-warmup" },
  { LOG_EVENT_MESH_ERA, "mesh-era" },
  { LOG_EVENT_MESH_MEMORY, "mesh-memory" },
  { LOG_EVENT_MESH_FETCH, "mesh-fetch" },
  { LOG_EVENT_MESH_BEHIND, "mesh-behind" },
};

/* Return the name of event ID, as listed in docs/EVENTS.md.  */
const char *
log_event_name (enum log_event_id id)
{
  gsize i;

  for (i = 0; i < G_N_ELEMENTS (catalogue); i++)
    if (catalogue[i].id == id)
      return catalogue[i].name;
  return "unnamed";
}
