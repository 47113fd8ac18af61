#include "mesh/mesh_parts.h"

/* Who reads the store.  The first few nodes by name do; the others hear in
   their pulses that there is more and fetch it from whoever said so.  */

/* Nodes that follow the fleet's topic, and the operator's.  The latter is
   followed by two, since it has to be in force within seconds.  */
#define FLEET_READERS 1u
#define CONFIG_READERS 2u

/* A node whose session is so old is not fed and reads for itself; each rank
   later, so that not all of them do when the store is away.  */
#define UNFED_USEC ((gint64)2200000)
#define UNFED_RANK_USEC ((gint64)50000)

/* A node that has no configuration so long after its start asks the store for
   it, though others read it too.  */
#define UNTAUGHT_USEC ((gint64)3500000)

/* Tell whether this node, at its start, leaves reading to others.  A fleet
   that starts finds the topic empty; if each node took itself for the first by
   name until it knows better, each would read each record.  So those whose own
   record is among the first go on, the others wait to be called by them.  */
static gboolean
is_coming_in (const struct mesh *mesh, gint64 now)
{
  const struct fleet_member *self
      = fleet_state_member_named (&mesh->fleet, mesh->settings.name);

  if (!mesh->initial_read_done || now - mesh->started_at >= UNTAUGHT_USEC
      || mesh->fleet.members.count > 1)
    return FALSE;
  return self == NULL || self->store_offset >= CONFIG_READERS;
}

/* Tell whether this node is among the first READERS by name, or is not fed by
   others.  */
static gboolean
is_reader (struct mesh *mesh, guint32 readers, gint64 now)
{
  gint64 age = session_age_usec (&mesh->session, now);
  guint32 rank = mesh_rank_by_name (mesh, now);

  if (is_coming_in (mesh, now))
    return FALSE;
  return !mesh->initial_read_done || rank < readers || age < 0
         || age > UNFED_USEC + UNFED_RANK_USEC * (gint64)rank;
}

/* Tell whether this node follows the fleet's topic itself.  */
gboolean
mesh_reads_fleet (struct mesh *mesh, gint64 now)
{
  return is_reader (mesh, FLEET_READERS, now);
}

/* Tell whether this node follows the operator's topic itself.  */
gboolean
mesh_reads_config (struct mesh *mesh, gint64 now)
{
  return (mesh->routing == NULL && now - mesh->started_at >= UNTAUGHT_USEC)
         || is_reader (mesh, CONFIG_READERS, now);
}
