#include "mesh/mesh_parts.h"

/* Decides which nodes read the store.  The first few nodes by name do; the
   others learn from gossip that there are new records, and fetch them from the
   node that sent it.  */

/* Number of nodes that follow the fleet's topic and the operator's topic.  Two
   follow the latter, since a configuration has to be in force within
   seconds.  */
#define FLEET_READERS 1u
#define CONFIG_READERS 2u

/* A node whose session is older than this gets no records from others and
   reads for itself.  The time grows with the rank of the node, so that not all
   nodes read at once when the store is unavailable.  */
#define STALE_SESSION_USEC ((gint64)2200000)
#define STALE_SESSION_RANK_USEC ((gint64)50000)

/* A node without a configuration this long after its start reads the
   operator's topic, though others read it too.  */
#define NO_CONFIG_USEC ((gint64)3500000)

/* Return whether this node, having just started, leaves reading to others.  A
   fleet that starts finds the topic empty.  If each node took itself for the
   first by name until it knows other members, each would read each record.  So
   only the nodes whose own records are among the first go on reading; the
   others wait to be called by them.  */
static gboolean
leaves_reading (const struct mesh *mesh, gint64 now)
{
  const struct fleet_member *self
      = fleet_state_member_named (&mesh->fleet, mesh->settings.name);

  if (!mesh->initial_read_done || now - mesh->started_at >= NO_CONFIG_USEC
      || mesh->fleet.members.count > 1)
    return FALSE;
  return self == NULL || self->store_offset >= CONFIG_READERS;
}

/* Return whether this node is among the first READERS by name, or gets no
   records from others.  */
static gboolean
is_reader (struct mesh *mesh, guint32 readers, gint64 now)
{
  gint64 age = session_age_usec (&mesh->session, now);
  guint32 rank = mesh_rank_by_name (mesh, now);

  if (leaves_reading (mesh, now))
    return FALSE;
  return !mesh->initial_read_done || rank < readers || age < 0
         || age > STALE_SESSION_USEC + STALE_SESSION_RANK_USEC * (gint64)rank;
}

/* Return whether this node reads the fleet's topic itself.  */
gboolean
mesh_reads_fleet (struct mesh *mesh, gint64 now)
{
  return is_reader (mesh, FLEET_READERS, now);
}

/* Log whether this node reads each topic itself, if that has changed.  */
void
mesh_read_log_part (struct mesh *mesh, gint64 now, struct actions *out)
{
  gboolean reads_fleet = mesh_reads_fleet (mesh, now);
  gboolean reads_config = mesh_reads_config (mesh, now);

  if (reads_fleet == mesh->read_fleet && reads_config == mesh->read_config)
    return;
  mesh->read_fleet = reads_fleet;
  mesh->read_config = reads_config;
  mesh_log (out, LOG_EVENT_MESH_READING, mesh->settings.name,
            "fleet=%d config=%d rank=%u session_age_ms=%" G_GINT64_FORMAT
            " config_ms=%" G_GINT64_FORMAT,
            reads_fleet, reads_config, mesh_rank_by_name (mesh, now),
            mesh_age_msec (mesh->session.confirmed_at, now),
            mesh_age_msec (mesh->config_freshness.confirmed_at, now));
}

/* Return whether this node reads the operator's topic itself.  */
gboolean
mesh_reads_config (struct mesh *mesh, gint64 now)
{
  return (mesh->routing == NULL && now - mesh->started_at >= NO_CONFIG_USEC)
         || is_reader (mesh, CONFIG_READERS, now);
}
