#include "types/note.h"

/* An entry of the catalogue.  */
struct note_entry
{
  enum note_id id;  /* number of the event */
  const char *name; /* name of the event, the same in all versions */
};

static const struct note_entry note_catalogue[] = {
  { NOTE_ROUTE_OWN, "route-own" },
  { NOTE_ROUTE_FORWARD, "route-forward" },
  { NOTE_ROUTE_REFUSED, "route-refused" },
  { NOTE_ROUTE_RETRY, "route-retry" },
  { NOTE_ROUTE_ENDED, "route-ended" },
  { NOTE_ROUTE_QUEUED, "route-queued" },
  { NOTE_ROUTE_CANCELLED, "route-cancelled" },
  { NOTE_ONCE_REPEAT, "once-repeat" },
  { NOTE_ROUTE_BREAKER, "route-breaker" },
  { NOTE_PLACE_ASSIGN, "place-assign" },
  { NOTE_PLACE_MOVE, "place-move" },
  { NOTE_PLACE_OWNED, "place-owned" },
  { NOTE_PLACE_HOT, "place-hot" },
  { NOTE_PLACE_RELEASED, "place-released" },
  { NOTE_PLACE_DROPPED, "place-dropped" },
  { NOTE_NODE_JOIN, "node-join" },
  { NOTE_NODE_LEAVING, "node-leaving" },
  { NOTE_NODE_OUT, "node-out" },
  { NOTE_LEASE_HELD, "lease-held" },
  { NOTE_LEASE_LAPSED, "lease-lapsed" },
  { NOTE_WITNESS_SET, "witness-set" },
  { NOTE_PROMISE, "promise" },
  { NOTE_CERTIFICATE, "certificate" },
  { NOTE_TAKEOVER, "takeover" },
  { NOTE_CONFIG_FORCE, "config-force" },
  { NOTE_CONFIG_CONFLICT, "config-conflict" },
  { NOTE_LOG_DOWN, "log-down" },
  { NOTE_LOG_UP, "log-up" },
  { NOTE_SNAPSHOT_WRITTEN, "snapshot-written" },
  { NOTE_SNAPSHOT_LOADED, "snapshot-loaded" },
  { NOTE_RECORD_UNKNOWN, "record-unknown" },
  { NOTE_APPEND_UNSURE, "append-unsure" },
  { NOTE_SERVER_UP, "server-up" },
  { NOTE_SERVER_DOWN, "server-down" },
  { NOTE_SERVER_REFUSED, "server-refused" },
  { NOTE_SUSPECT, "suspect" },
  { NOTE_QUARANTINE, "quarantine" },
  { NOTE_CONNECTION, "connection" },
  { NOTE_DRAINED, "drained" },
  { NOTE_MESH_ROUTE, "mesh-route" },
  { NOTE_MESH_RUN, "mesh-run" },
  { NOTE_MESH_WAIT, "mesh-wait" },
  { NOTE_MESH_FAILED, "mesh-failed" },
  { NOTE_MESH_END, "mesh-end" },
  { NOTE_MESH_POISON, "mesh-poison" },
  { NOTE_MESH_REFUSE, "mesh-refuse" },
  { NOTE_MESH_ROUTING, "mesh-routing" },
  { NOTE_MESH_MEMBER, "mesh-member" },
  { NOTE_MESH_SILENT, "mesh-silent" },
  { NOTE_MESH_KEYS, "mesh-keys" },
  { NOTE_MESH_PROPOSE, "mesh-propose" },
  { NOTE_MESH_PROPOSED, "mesh-proposed" },
  { NOTE_MESH_BEAT, "mesh-beat" },
  { NOTE_MESH_SERVER, "mesh-server" },
  { NOTE_MESH_STORE, "mesh-store" },
  { NOTE_MESH_SESSION, "mesh-session" },
  { NOTE_MESH_START, "mesh-start" },
  { NOTE_MESH_STOP, "mesh-stop" },
  { NOTE_MESH_SETTINGS, "mesh-settings" },
  { NOTE_MESH_BAD_INPUT, "mesh-bad-input" },
  { NOTE_MESH_BALANCE, "mesh-balance" },
};

/* Return the name of event ID, as listed in docs/EVENTS.md.  */
const char *
note_name (enum note_id id)
{
  gsize i;

  for (i = 0; i < G_N_ELEMENTS (note_catalogue); i++)
    if (note_catalogue[i].id == id)
      return note_catalogue[i].name;
  return "unnamed";
}
