#include "mesh/mesh_parts.h"

/* What this node knows of configurations newer than the one in force, so that
   the log tells how far behind it is, since when, and what it does about it.
 */

/* A node that is behind for this long says so in the log.  */
#define BEHIND_LOG_USEC ((gint64)1000000)

/* Note that a process, SOURCE, has the configuration VERSION at NOW.  */
void
mesh_newest_heard (struct mesh *mesh, guint64 version, guint64 source,
                   gint64 now)
{
  struct mesh_newest_config *newest = &mesh->newest_config;

  if (version <= newest->version)
    return;
  newest->version = version;
  newest->source = source;
  newest->heard_at = now;
  if (newest->behind_since == 0 && version > mesh_routing_version (mesh))
    newest->behind_since = now;
}

/* Log that this node is behind, or no longer is.  */
static void
log_behind (struct mesh *mesh, const char *outcome, gint64 now,
            struct actions *out)
{
  const struct mesh_newest_config *newest = &mesh->newest_config;
  const struct mesh_config_fetch *fetch = mesh_latest_config_fetch (mesh);

  mesh_log (
      out, LOG_EVENT_MESH_BEHIND, mesh_process_name (mesh, newest->source),
      "outcome=%s config=%" G_GUINT64_FORMAT " newest=%" G_GUINT64_FORMAT
      " behind_ms=%" G_GINT64_FORMAT " config_ms=%" G_GINT64_FORMAT
      " reads=%d fetch_from=%s fetch_ms=%" G_GINT64_FORMAT,
      outcome, mesh_routing_version (mesh), newest->version,
      mesh_age_msec (newest->behind_since, now),
      mesh_age_msec (mesh->freshness[MESH_TOPIC_CONFIG].confirmed_at, now),
      mesh_reads_config (mesh, now),
      fetch->serial != 0 ? mesh_process_name (mesh, fetch->source) : "",
      fetch->serial != 0 ? mesh_age_msec (fetch->sent_at, now) : -1);
}

/* Note that no version newer than the one in force is known of any more; log
   OUTCOME if the log has told that one was.  */
static void
end_lag (struct mesh *mesh, const char *outcome, gint64 now,
         struct actions *out)
{
  struct mesh_newest_config *newest = &mesh->newest_config;

  if (newest->is_logged)
    log_behind (mesh, outcome, now, out);
  newest->version = mesh_routing_version (mesh);
  newest->is_logged = FALSE;
  newest->behind_since = 0;
}

/* Note that the version in force has changed at NOW.  */
void
mesh_newest_applied (struct mesh *mesh, gint64 now, struct actions *out)
{
  struct mesh_newest_config *newest = &mesh->newest_config;

  mesh_newest_heard (mesh, mesh_routing_version (mesh), 0, now);
  if (newest->version > mesh_routing_version (mesh))
    {
      newest->behind_since = MAX (newest->behind_since, newest->heard_at);
      return;
    }
  end_lag (mesh, "caught-up", now, out);
}

/* Note that a read of the store, which began at STARTED_AT, showed nothing
   newer than the version in force.  A version that was heard of before is not
   in the store, such as after its return from an older copy.  */
void
mesh_newest_confirmed (struct mesh *mesh, gint64 started_at, gint64 now,
                       struct actions *out)
{
  const struct mesh_newest_config *newest = &mesh->newest_config;

  if (newest->behind_since != 0 && started_at > newest->heard_at)
    end_lag (mesh, "not-in-store", now, out);
}

/* Log once that this node has been behind for BEHIND_LOG_USEC.  */
void
mesh_newest_step (struct mesh *mesh, gint64 now, struct actions *out)
{
  struct mesh_newest_config *newest = &mesh->newest_config;

  if (newest->is_logged || newest->behind_since == 0
      || now - newest->behind_since < BEHIND_LOG_USEC)
    return;
  newest->is_logged = TRUE;
  log_behind (mesh, "behind", now, out);
}

/* Return for how many milliseconds a configuration newer than the one in force
   has been known of here, -1 if none is.  */
gint64
mesh_behind_msec (const struct mesh *mesh, gint64 now)
{
  return mesh_age_msec (mesh->newest_config.behind_since, now);
}
