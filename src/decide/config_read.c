#include "decide/config_read.h"

#include "decide/config_check.h"
#include "types/ini.h"

#include <string.h>

#define SLICES_MAX 262144        /* most slices of one service */
#define SLICES_DEFAULT 96        /* number for a service that sets none */
#define TIMEOUT_MIN_MSEC 10      /* shortest timeout of a request */
#define TIMEOUT_MAX_MSEC 3600000 /* longest timeout: an hour, for uploads */
#define TIMEOUT_DEFAULT_MSEC 10000
#define QUEUE_MAX 10000 /* most requests that may wait at one server */
#define QUEUE_DEFAULT 32
#define WEIGHT_MAX 1000 /* highest weight of a server, percent */
#define WEIGHT_DEFAULT 100
#define SEGMENT_MAX 16 /* highest number of a path segment */

static const struct ini_field config_fields[] = {
  { "place", "region", INI_NAME, TRUE, 0, 0, NULL },
  { "service", "divided", INI_FLAG, TRUE, 0, 0, NULL },
  { "service", "slices", INI_NUMBER, FALSE, 1, SLICES_MAX, NULL },
  { "service", "timeout-ms", INI_NUMBER, FALSE, TIMEOUT_MIN_MSEC,
    TIMEOUT_MAX_MSEC, NULL },
  { "service", "queue", INI_NUMBER, FALSE, 0, QUEUE_MAX, NULL },
  { "server", "place", INI_NAME, TRUE, 0, 0, NULL },
  { "server", "service", INI_NAME, TRUE, 0, 0, NULL },
  { "server", "weight", INI_NUMBER, FALSE, 0, WEIGHT_MAX, NULL },
  { "rule", "service", INI_NAME, TRUE, 0, 0, NULL },
  { "rule", "path", INI_TEXT, TRUE, 0, PATH_SIZE, NULL },
  { "rule", "methods", INI_TEXT, FALSE, 0, NAME_SIZE, NULL },
  { "rule", "key-segment", INI_NUMBER, FALSE, 1, SEGMENT_MAX, NULL },
  { "rule", "key-header", INI_NAME, FALSE, 0, 0, NULL },
  { "rule", "run", INI_CHOICE, TRUE, 0, 0, "idempotent|once" },
  { "rule", "priority", INI_CHOICE, FALSE, 0, 0, "high|normal|low" },
  { "binding", "service", INI_NAME, TRUE, 0, 0, NULL },
  { "binding", "key", INI_TEXT, TRUE, 0, KEY_SIZE, NULL },
  { "binding", "server", INI_NAME, TRUE, 0, 0, NULL },
};

static const struct ini_schema config_schema
    = { config_fields, G_N_ELEMENTS (config_fields),
        "place|service|server|rule|binding", "" };

/* Objects */

/* Read the section of a zone, which the text calls a place.  */
static void
read_zone (struct config *config, const struct ini *ini,
           const struct ini_section *section)
{
  struct config_zone zone = { 0 };

  g_strlcpy (zone.name, section->name, sizeof zone.name);
  ini_copy (ini, section, "region", zone.region, sizeof zone.region);
  g_array_append_val (config->zones, zone);
}

/* Read the section of a service.  */
static void
read_service (struct config *config, const struct ini *ini,
              const struct ini_section *section)
{
  struct config_service service = { 0 };

  g_strlcpy (service.name, section->name, sizeof service.name);
  service.sharded = ini_flag (ini, section, "divided", FALSE);
  service.slice_count
      = (guint32)ini_number (ini, section, "slices", SLICES_DEFAULT);
  service.timeout_msec
      = (guint32)ini_number (ini, section, "timeout-ms", TIMEOUT_DEFAULT_MSEC);
  service.queue_limit
      = (guint32)ini_number (ini, section, "queue", QUEUE_DEFAULT);
  if (!service.sharded)
    service.slice_count = 0;
  g_array_append_val (config->services, service);
}

/* Read the section of a server.  */
static void
read_server (struct config *config, const struct ini *ini,
             const struct ini_section *section)
{
  struct config_server server = { 0 };

  g_strlcpy (server.name, section->name, sizeof server.name);
  ini_copy (ini, section, "place", server.zone, sizeof server.zone);
  ini_copy (ini, section, "service", server.service, sizeof server.service);
  server.weight = (guint32)ini_number (ini, section, "weight", WEIGHT_DEFAULT);
  g_array_append_val (config->servers, server);
}

/* Read the section of a rule.  */
static void
read_rule (struct config *config, const struct ini *ini,
           const struct ini_section *section)
{
  struct config_rule rule = { 0 };
  char value[NAME_SIZE];

  g_strlcpy (rule.name, section->name, sizeof rule.name);
  ini_copy (ini, section, "service", rule.service, sizeof rule.service);
  ini_copy (ini, section, "path", rule.path_prefix, sizeof rule.path_prefix);
  ini_copy (ini, section, "methods", rule.methods, sizeof rule.methods);
  ini_copy (ini, section, "key-header", rule.key_header,
            sizeof rule.key_header);
  rule.key_segment = (guint32)ini_number (ini, section, "key-segment", 0);
  if (rule.key_segment != 0)
    rule.key_source = KEY_SEGMENT;
  else if (rule.key_header[0] != '\0')
    rule.key_source = KEY_HEADER;
  ini_copy (ini, section, "run", value, sizeof value);
  rule.run_class = strcmp (value, "once") == 0 ? RUN_ONCE : RUN_IDEMPOTENT;
  ini_copy (ini, section, "priority", value, sizeof value);
  rule.priority = strcmp (value, "high") == 0  ? PRIORITY_HIGH
                  : strcmp (value, "low") == 0 ? PRIORITY_LOW
                                               : PRIORITY_NORMAL;
  g_array_append_val (config->rules, rule);
}

/* Read the section of a binding.  */
static void
read_binding (struct config *config, const struct ini *ini,
              const struct ini_section *section)
{
  struct config_binding binding = { 0 };

  g_strlcpy (binding.name, section->name, sizeof binding.name);
  ini_copy (ini, section, "service", binding.service, sizeof binding.service);
  ini_copy (ini, section, "key", binding.key, sizeof binding.key);
  ini_copy (ini, section, "server", binding.server, sizeof binding.server);
  g_array_append_val (config->bindings, binding);
}

/* Read the object that SECTION describes.  */
static void
read_object (struct config *config, const struct ini *ini,
             const struct ini_section *section)
{
  if (strcmp (section->kind, "place") == 0)
    read_zone (config, ini, section);
  else if (strcmp (section->kind, "service") == 0)
    read_service (config, ini, section);
  else if (strcmp (section->kind, "server") == 0)
    read_server (config, ini, section);
  else if (strcmp (section->kind, "rule") == 0)
    read_rule (config, ini, section);
  else if (strcmp (section->kind, "binding") == 0)
    read_binding (config, ini, section);
}

/* Read the configuration TEXT into CONFIG and check it as a whole.  Errors
   name FILE as their source and are added to ERRORS.  Return ERR_INVALID if
   there are any.  The caller clears CONFIG in either case.  */
enum err
config_read (struct config *config, const char *file, const char *text,
             GArray *errors)
{
  struct ini ini;
  guint before = errors->len;
  guint i;

  config_init (config);
  ini_read (&ini, file, text, &config_schema, errors);
  for (i = 0; i < ini.sections->len; i++)
    read_object (config, &ini,
                 &g_array_index (ini.sections, struct ini_section, i));
  for (i = 0; i < ini.sections->len; i++)
    config_check_object (config, &ini,
                         &g_array_index (ini.sections, struct ini_section, i),
                         errors);
  ini_clear (&ini);
  return errors->len > before ? ERR_INVALID : ERR_NONE;
}

/* Add an error to ERRORS for each change from BEFORE to AFTER of a value that
   cannot change: the number of slices of a service, and whether it is
   sharded.  */
void
config_compare (const struct config *before, const struct config *after,
                const char *file, GArray *errors)
{
  guint i;

  for (i = 0; i < before->services->len; i++)
    {
      const struct config_service *previous
          = &g_array_index (before->services, struct config_service, i);
      const struct config_service *current
          = config_find_service (after, previous->name);
      struct config_error *error;
      if (current == NULL
          || (current->sharded == previous->sharded
              && current->slice_count == previous->slice_count))
        continue;
      error = config_error_add (errors, CONFIG_ERROR_IMMUTABLE);
      g_strlcpy (error->file, file, sizeof error->file);
      g_snprintf (error->section, sizeof error->section, "service %s",
                  previous->name);
      g_strlcpy (error->key,
                 current->sharded != previous->sharded ? "divided" : "slices",
                 sizeof error->key);
    }
}
