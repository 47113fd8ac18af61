#include "mesh/mesh_parts.h"
#include "types/store_offset.h"

/* A node that has had no heartbeat from its server writes no record of itself
   until this long after its start, by when the first heartbeat is due.  */
#define FIRST_HEARTBEAT_USEC ((gint64)2500000)

/* Fill in the record of this node.  */
static void
describe_self (struct mesh *mesh, gint64 now, struct fleet_member *member)
{
  const struct mesh_settings *settings = &mesh->settings;
  const struct grant *grant = &mesh->grant;

  memset (member, 0, sizeof *member);
  g_strlcpy (member->name, settings->name, sizeof member->name);
  g_strlcpy (member->zone, settings->zone, sizeof member->zone);
  g_strlcpy (member->service, settings->service, sizeof member->service);
  member->peer_address = settings->peer_address;
  member->incarnation = settings->incarnation;
  member->instance = grant->instance;
  member->slots = grant->slots;
  member->state = MEMBER_READY;
  /* A server that deregistered is not recorded as down: the next process would
     take a late heartbeat for its return.  */
  if (server_instance_is_set (&grant->instance) && grant->is_deregistered)
    member->state = MEMBER_DRAINING;
  else if (!server_instance_is_set (&grant->instance)
           || grant_is_abandoned (grant, now))
    member->state = MEMBER_DOWN;
  else if (grant->is_draining)
    member->state = MEMBER_DRAINING;
}

/* Return whether the store's record of this node says the same as MEMBER.  A
   record that was read in an earlier era of the store may be lost.  */
static gboolean
is_recorded (struct mesh *mesh, const struct fleet_member *member)
{
  const struct fleet_member *recorded
      = fleet_state_member_named (&mesh->fleet, member->name);

  return recorded != NULL
         && store_offset_era (recorded->store_offset) >= mesh->era
         && strcmp (recorded->zone, member->zone) == 0
         && strcmp (recorded->service, member->service) == 0
         && address_equal (recorded->peer_address, member->peer_address)
         && recorded->incarnation == member->incarnation
         && server_instance_equal (&recorded->instance, &member->instance)
         && recorded->slots == member->slots
         && recorded->state == member->state;
}

/* Propose the record of this node if the store's is different, or in any case
   if ALWAYS is set.  Return whether it was proposed.  */
gboolean
mesh_propose_self (struct mesh *mesh, gboolean always, gint64 now,
                   struct actions *out)
{
  struct fleet_record record = { .kind = FLEET_MEMBER };

  if (!server_instance_is_set (&mesh->grant.instance)
      && now - mesh->started_at < FIRST_HEARTBEAT_USEC)
    return FALSE;
  describe_self (mesh, now, &record.u.member);
  if (!always && is_recorded (mesh, &record.u.member))
    return FALSE;
  mesh_propose (mesh, &record, APPEND_UNCONDITIONAL, now, out);
  return TRUE;
}
