#include "edge/mesh_node.h"

#include <string.h>
#include <sys/stat.h>

/* Interval of the checks of the settings file.  */
#define FILE_CHECK_INTERVAL_USEC ((gint64)1000000)

/* Return the modification time of FILE in usec since the epoch, or 0 if it
   cannot be read.  */
gint64
mesh_node_file_mtime (const char *file)
{
  struct stat status;

  if (stat (file, &status) != 0)
    return 0;
  return (gint64)status.st_mtim.tv_sec * USEC_PER_SEC
         + status.st_mtim.tv_nsec / 1000;
}

/* Reload the settings file.  If it is valid, the heartbeat interval and the
   bounds take effect; a changed identity or address takes effect only at the
   next start.  */
void
mesh_node_reload (struct mesh_node *node)
{
  GArray *errors = g_array_new (FALSE, TRUE, sizeof (struct config_error));
  struct mesh_settings *mesh = &node->mesh.settings;
  struct log_event log_event = { .id = LOG_EVENT_MESH_SETTINGS };
  struct mesh_config config;
  enum err code = mesh_config_read (&config, node->settings_file, errors);

  node->settings_modified_at = mesh_node_file_mtime (node->settings_file);
  if (code == ERR_NONE)
    {
      mesh->heartbeat_usec = config.mesh.heartbeat_usec;
      mesh->max_grant_usec = config.mesh.max_grant_usec;
      mesh->drain_limit_usec = config.mesh.drain_limit_usec;
      mesh->config_apply_usec = config.mesh.config_apply_usec;
      mesh->evacuate_usec = config.mesh.evacuate_usec;
      mesh->stop_grace_usec = config.mesh.stop_grace_usec;
    }
  g_strlcpy (log_event.text, mesh->name, sizeof log_event.text);
  g_snprintf (log_event.detail, sizeof log_event.detail,
              "outcome=%s faults=%u", err_name (code), errors->len);
  mesh_node_log (node, &log_event);
  g_array_free (errors, TRUE);
}

/* Reload the settings file if its modification time has changed; checked at
   most every FILE_CHECK_INTERVAL_USEC.  */
void
mesh_node_check_file (struct mesh_node *node, gint64 now)
{
  if (now - node->settings_checked_at < FILE_CHECK_INTERVAL_USEC)
    return;
  node->settings_checked_at = now;
  if (mesh_node_file_mtime (node->settings_file) != node->settings_modified_at)
    mesh_node_reload (node);
}
