#include "edge/settings.h"

#include "types/ini.h"

#include <string.h>

#define RELAYS_MAX 100
#define RELAYS_DEFAULT 0 /* nodes a zone that read the log; 0: all */
#define SNAPSHOT_RECORDS_MIN 8
#define SNAPSHOT_RECORDS_MAX 1000000
#define SNAPSHOT_RECORDS_DEFAULT 5000 /* records between snapshots */
#define SNAPSHOT_SEC_MAX 86400
#define SNAPSHOT_SEC_DEFAULT 600 /* longest time between snapshots */

static const struct ini_field settings_fields[] = {
  { "node", "host", INI_NAME, TRUE, 0, 0, NULL },
  { "node", "zone", INI_NAME, TRUE, 0, 0, NULL },
  { "node", "region", INI_NAME, TRUE, 0, 0, NULL },
  { "node", "service", INI_NAME, TRUE, 0, 0, NULL },
  { "node", "front", INI_ADDRESS, TRUE, 0, 0, NULL },
  { "node", "peer", INI_ADDRESS, TRUE, 0, 0, NULL },
  { "log", "address", INI_ADDRESS, TRUE, 0, 0, NULL },
  { "log", "stream", INI_NAME, TRUE, 0, 0, NULL },
  { "log", "relays", INI_NUMBER, FALSE, 0, RELAYS_MAX, NULL },
  { "log", "snapshot-records", INI_NUMBER, FALSE, SNAPSHOT_RECORDS_MIN,
    SNAPSHOT_RECORDS_MAX, NULL },
  { "log", "snapshot-seconds", INI_NUMBER, FALSE, 1, SNAPSHOT_SEC_MAX, NULL },
  { "peers", "seeds", INI_TEXT, FALSE, 0, PATH_SIZE, NULL },
  { "journal", "level", INI_CHOICE, FALSE, 0, 0, "error|info|debug" },
};

static const struct ini_schema settings_schema
    = { settings_fields, G_N_ELEMENTS (settings_fields), "",
        "node|log|peers|journal" };

/* Read the peers to start from: addresses with commas between.  */
static void
read_seeds (struct core_settings *core, const struct ini *ini,
            const struct ini_section *section, GArray *errors)
{
  char *text = ini_text (ini, section, "seeds");
  char **words = g_strsplit (text, ",", -1);
  guint i;

  for (i = 0; words[i] != NULL; i++)
    {
      struct address seed;
      if (i >= SEED_PEERS_MAX
          || address_parse (g_strstrip (words[i]), &seed) != ERR_NONE)
        ini_add_error (ini, errors, CONFIG_ERROR_VALUE, section, "seeds",
                       words[i]);
      else
        core->seed_peers[core->seed_peer_count++] = seed;
    }
  g_strfreev (words);
  g_free (text);
}

/* Read the values of SECTION, which has been checked.  */
static void
read_section (struct settings *settings, const struct ini *ini,
              const struct ini_section *section, GArray *errors)
{
  struct core_settings *core = &settings->core;

  if (strcmp (section->kind, "node") == 0)
    {
      ini_copy (ini, section, "host", core->host, sizeof core->host);
      ini_copy (ini, section, "zone", core->zone, sizeof core->zone);
      ini_copy (ini, section, "region", core->region, sizeof core->region);
      ini_copy (ini, section, "service", core->service, sizeof core->service);
      ini_address (ini, section, "front", &core->front_address);
      ini_address (ini, section, "peer", &core->peer_address);
    }
  else if (strcmp (section->kind, "log") == 0)
    {
      ini_address (ini, section, "address", &settings->log_address);
      ini_copy (ini, section, "stream", settings->log_stream,
                sizeof settings->log_stream);
      core->relays_per_zone
          = (guint32)ini_number (ini, section, "relays", RELAYS_DEFAULT);
      core->snapshot_records = (guint32)ini_number (
          ini, section, "snapshot-records", SNAPSHOT_RECORDS_DEFAULT);
      core->snapshot_interval_sec = (guint32)ini_number (
          ini, section, "snapshot-seconds", SNAPSHOT_SEC_DEFAULT);
    }
  else if (strcmp (section->kind, "peers") == 0)
    read_seeds (core, ini, section, errors);
  else if (strcmp (section->kind, "journal") == 0)
    ini_copy (ini, section, "level", settings->log_level,
              sizeof settings->log_level);
}

/* Read the settings in FILE.  Return ERR_INVALID, with each fault added to
   FAULTS, if they are not right.  */
enum err
settings_read (struct settings *settings, const char *file, GArray *errors)
{
  static const char *const needed[] = { "node", "log" };
  struct ini ini;
  char *text = NULL;
  guint i;

  memset (settings, 0, sizeof *settings);
  g_strlcpy (settings->log_level, "info", sizeof settings->log_level);
  if (!g_file_get_contents (file, &text, NULL, NULL))
    {
      g_strlcpy (config_error_add (errors, CONFIG_ERROR_FILE)->file, file,
                 PATH_SIZE);
      return ERR_INVALID;
    }
  ini_read (&ini, file, text, &settings_schema, errors);
  ini_require_sections (&ini, needed, G_N_ELEMENTS (needed), errors);
  for (i = 0; i < ini.sections->len; i++)
    read_section (settings, &ini,
                  &g_array_index (ini.sections, struct ini_section, i),
                  errors);
  ini_clear (&ini);
  g_free (text);
  return errors->len > 0 ? ERR_INVALID : ERR_NONE;
}
