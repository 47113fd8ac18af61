#include "mesh/mesh_parts.h"

/* Who reads the store.  The first few nodes by name do; the others hear in
   their pulses that there is more and fetch it from whoever said so.  */

#define READERS 2u /* nodes that follow the store */

/* A node whose session is so old is not fed and reads for itself; each rank
   later, so that not all of them do when the store is away.  */
#define UNFED_USEC ((gint64)2200000)
#define UNFED_RANK_USEC ((gint64)50000)

/* A node that has no configuration so long after its start asks the store for
   it, though others read it too.  */
#define UNTAUGHT_USEC ((gint64)3500000)

/* Tell whether this node has read the store but does not stand in it yet, as
   all do when a fleet starts.  It reads on once it does and so knows its rank:
   otherwise each of them would read each record of the others.  */
static gboolean
is_coming_in (const struct mesh *mesh, gint64 now)
{
  return mesh->known && now - mesh->started < UNTAUGHT_USEC
         && roster_member_named (&mesh->roster, mesh->settings.name) == NULL;
}

/* Tell whether this node follows the fleet's topic itself.  */
gboolean
mesh_reads_fleet (struct mesh *mesh, gint64 now)
{
  gint64 age = session_age (&mesh->session, now);
  guint32 rank = mesh_rank (mesh, now);

  if (is_coming_in (mesh, now))
    return FALSE;
  return !mesh->known || rank < READERS || age < 0
         || age > UNFED_USEC + UNFED_RANK_USEC * (gint64)rank;
}

/* Tell whether this node follows the operator's topic itself.  */
gboolean
mesh_reads_config (struct mesh *mesh, gint64 now)
{
  if (mesh->routing == NULL && now - mesh->started >= UNTAUGHT_USEC)
    return TRUE;
  return mesh_reads_fleet (mesh, now);
}
