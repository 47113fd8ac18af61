#include "edge/mesh_config.h"

#include "types/ini.h"

#include <string.h>

#define MAX_GRANT_USEC_DEFAULT ((gint64)10000000) /* longest grant of keys */
/* Time in which a leaving server still gets requests.  */
#define DRAIN_LIMIT_USEC_DEFAULT ((gint64)2000000)
/* Time in which a configuration comes into force everywhere.  */
#define CONFIG_APPLY_USEC_DEFAULT ((gint64)2000000)
/* Time between the request to stop and the kill.  */
#define STOP_GRACE_USEC_DEFAULT ((gint64)6000000)
#define MEMORY_MB_DEFAULT 160     /* memory of the smallest host */
#define DESCRIPTORS_DEFAULT 4100u /* descriptors on the smallest host */
#define BYTES_PER_MB ((guint64)1048576)

static const struct ini_field config_fields[] = {
  { "node", "host", INI_NAME, TRUE, 0, 0, NULL },
  { "node", "zone", INI_NAME, TRUE, 0, 0, NULL },
  { "node", "service", INI_NAME, TRUE, 0, 0, NULL },
  { "listen", "callers", INI_ADDRESS, TRUE, 0, 0, NULL },
  { "listen", "control", INI_ADDRESS, TRUE, 0, 0, NULL },
  { "listen", "ready", INI_ADDRESS, TRUE, 0, 0, NULL },
  { "listen", "metrics", INI_ADDRESS, TRUE, 0, 0, NULL },
  { "listen", "peers", INI_ADDRESS, TRUE, 0, 0, NULL },
  { "server", "address", INI_ADDRESS, TRUE, 0, 0, NULL },
  { "server", "beat-ms", INI_DECIMAL, TRUE, 0, 0, NULL },
  { "server", "grants", INI_CHOICE, FALSE, 0, 0, "heartbeat|call" },
  { "store", "address", INI_ADDRESS, TRUE, 0, 0, NULL },
  { "bounds", "hold-max-ms", INI_DECIMAL, FALSE, 0, 0, NULL },
  { "bounds", "drain-ms", INI_DECIMAL, FALSE, 0, 0, NULL },
  { "bounds", "config-apply-ms", INI_DECIMAL, FALSE, 0, 0, NULL },
  { "bounds", "evacuate-ms", INI_DECIMAL, FALSE, 0, 0, NULL },
  { "bounds", "grace-seconds", INI_DECIMAL, FALSE, 0, 0, NULL },
  { "limits", "memory-mb", INI_NUMBER, FALSE, 1, 1048576, NULL },
  { "limits", "max-fds", INI_NUMBER, FALSE, 1, 1048576, NULL },
  { "limits", "link-mbps", INI_DECIMAL, FALSE, 0, 0, NULL },
  { "journal", "level", INI_CHOICE, FALSE, 0, 0, "error|info|debug" },
};

static const struct ini_schema config_schema
    = { config_fields, G_N_ELEMENTS (config_fields), "",
        "node|listen|server|store|bounds|limits|journal" };

/* Read the section listen: the addresses that the node listens on.  */
static void
read_listen (struct mesh_config *config, const struct ini *ini,
             const struct ini_section *section)
{
  ini_address (ini, section, "callers", &config->caller_address);
  ini_address (ini, section, "control", &config->control_address);
  ini_address (ini, section, "ready", &config->ready_address);
  ini_address (ini, section, "metrics", &config->metrics_address);
  ini_address (ini, section, "peers", &config->mesh.peer_address);
}

/* Return how the server is told its keys, by the section server.  */
static enum grant_method
read_method (const struct ini *ini, const struct ini_section *section)
{
  char word[NAME_SIZE] = "";

  ini_copy (ini, section, "grants", word, sizeof word);
  return strcmp (word, "call") == 0 ? GRANT_BY_CALL : GRANT_BY_ANSWER;
}

/* Read the values of SECTION, which has been checked against the schema.  */
static void
read_section (struct mesh_config *config, const struct ini *ini,
              const struct ini_section *section)
{
  struct mesh_settings *mesh = &config->mesh;

  if (strcmp (section->kind, "node") == 0)
    {
      ini_copy (ini, section, "host", mesh->name, sizeof mesh->name);
      ini_copy (ini, section, "zone", mesh->zone, sizeof mesh->zone);
      ini_copy (ini, section, "service", mesh->service, sizeof mesh->service);
    }
  else if (strcmp (section->kind, "listen") == 0)
    read_listen (config, ini, section);
  else if (strcmp (section->kind, "server") == 0)
    {
      ini_address (ini, section, "address", &mesh->server_address);
      mesh->heartbeat_usec
          = ini_duration_usec (ini, section, "beat-ms", USEC_PER_MSEC, 0);
      mesh->grant_method = read_method (ini, section);
    }
  else if (strcmp (section->kind, "store") == 0)
    ini_address (ini, section, "address", &config->store_address);
  else if (strcmp (section->kind, "bounds") == 0)
    {
      mesh->max_grant_usec = ini_duration_usec (
          ini, section, "hold-max-ms", USEC_PER_MSEC, MAX_GRANT_USEC_DEFAULT);
      mesh->drain_limit_usec = ini_duration_usec (
          ini, section, "drain-ms", USEC_PER_MSEC, DRAIN_LIMIT_USEC_DEFAULT);
      mesh->config_apply_usec
          = ini_duration_usec (ini, section, "config-apply-ms", USEC_PER_MSEC,
                               CONFIG_APPLY_USEC_DEFAULT);
      mesh->evacuate_usec
          = ini_duration_usec (ini, section, "evacuate-ms", USEC_PER_MSEC, 0);
      mesh->stop_grace_usec
          = ini_duration_usec (ini, section, "grace-seconds", USEC_PER_SEC,
                               STOP_GRACE_USEC_DEFAULT);
    }
  else if (strcmp (section->kind, "limits") == 0)
    {
      config->memory_bytes
          = (guint64)ini_number (ini, section, "memory-mb", MEMORY_MB_DEFAULT)
            * BYTES_PER_MB;
      config->descriptors_max
          = (guint)ini_number (ini, section, "max-fds", DESCRIPTORS_DEFAULT);
      config->link_mbit_per_s
          = (guint)ini_duration_usec (ini, section, "link-mbps", 1, 0);
    }
  else if (strcmp (section->kind, "journal") == 0)
    ini_copy (ini, section, "level", config->log_level,
              sizeof config->log_level);
}

/* Set the defaults of all optional settings.  */
static void
set_defaults (struct mesh_config *config)
{
  memset (config, 0, sizeof *config);
  g_strlcpy (config->log_level, "info", sizeof config->log_level);
  config->memory_bytes = MEMORY_MB_DEFAULT * BYTES_PER_MB;
  config->descriptors_max = DESCRIPTORS_DEFAULT;
  config->mesh.max_grant_usec = MAX_GRANT_USEC_DEFAULT;
  config->mesh.drain_limit_usec = DRAIN_LIMIT_USEC_DEFAULT;
  config->mesh.config_apply_usec = CONFIG_APPLY_USEC_DEFAULT;
  config->mesh.stop_grace_usec = STOP_GRACE_USEC_DEFAULT;
}

/* Read the settings in FILE into CONFIG.  If FILE cannot be read or has
   errors, append each to ERRORS and return ERR_INVALID.  */
enum err
mesh_config_read (struct mesh_config *config, const char *file, GArray *errors)
{
  static const char *const required[]
      = { "node", "listen", "server", "store" };
  struct ini ini;
  char *text = NULL;
  guint i;

  set_defaults (config);
  if (!g_file_get_contents (file, &text, NULL, NULL))
    {
      g_strlcpy (config_error_add (errors, CONFIG_ERROR_FILE)->file, file,
                 PATH_SIZE);
      return ERR_INVALID;
    }
  ini_read (&ini, file, text, &config_schema, errors);
  ini_require_sections (&ini, required, G_N_ELEMENTS (required), errors);
  for (i = 0; i < ini.sections->len; i++)
    read_section (config, &ini,
                  &g_array_index (ini.sections, struct ini_section, i));
  ini_clear (&ini);
  g_free (text);
  return errors->len > 0 ? ERR_INVALID : ERR_NONE;
}
