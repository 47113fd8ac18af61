#include "decide/config_check.h"

#include <string.h>

/* Add a fault unless KEY of SECTION names an object, which FOUND is.  */
static void
check_reference (const struct ini *ini, const struct ini_section *section,
                 const char *key, const void *found, GArray *errors)
{
  char *value = ini_text (ini, section, key);

  if (found == NULL && value[0] != '\0')
    ini_add_error (ini, errors, CONFIG_ERROR_DANGLING, section, key, value);
  g_free (value);
}

/* Tell whether A and B match some request both.  */
static gboolean
rules_overlap (const struct config_rule *a, const struct config_rule *b)
{
  char **methods;
  gboolean both = FALSE;
  guint i;

  if (strcmp (a->path_prefix, b->path_prefix) != 0)
    return FALSE;
  if (a->methods[0] == '\0' || b->methods[0] == '\0')
    return TRUE;
  methods = g_strsplit (a->methods, ",", -1);
  for (i = 0; methods[i] != NULL; i++)
    {
      char **others = g_strsplit (b->methods, ",", -1);
      both = both || g_strv_contains ((const char *const *)others, methods[i]);
      g_strfreev (others);
    }
  g_strfreev (methods);
  return both;
}

/* Check the rule of SECTION: its service, its key, and that no other rule
   matches the same requests.  */
static void
check_rule (const struct config *config, const struct ini *ini,
            const struct ini_section *section, const struct config_rule *rule,
            GArray *errors)
{
  const struct config_service *service
      = config_find_service (config, rule->service);
  guint i;

  check_reference (ini, section, "service", service, errors);
  if (rule->path_prefix[0] != '/')
    ini_add_error (ini, errors, CONFIG_ERROR_VALUE, section, "path",
                   rule->path_prefix);
  if (rule->key_segment != 0 && rule->key_header[0] != '\0')
    ini_add_error (ini, errors, CONFIG_ERROR_DUPLICATE, section, "key-header",
                   rule->key_header);
  if (service != NULL && service->sharded && rule->key_source == KEY_NONE)
    ini_add_error (ini, errors, CONFIG_ERROR_MISSING, section, "key-segment",
                   NULL);
  if (service != NULL && !service->sharded && rule->key_source != KEY_NONE)
    ini_add_error (ini, errors, CONFIG_ERROR_VALUE, section,
                   rule->key_segment != 0 ? "key-segment" : "key-header",
                   "service is not divided");
  for (i = 0; i < config->rules->len; i++)
    {
      const struct config_rule *other
          = &g_array_index (config->rules, struct config_rule, i);
      if (other == rule)
        return;
      if (rules_overlap (other, rule))
        ini_add_error (ini, errors, CONFIG_ERROR_OVERLAP, section, "path",
                       other->name);
    }
}

/* Check the references of the object that SECTION describes.  */
void
config_check_object (const struct config *config, const struct ini *ini,
                     const struct ini_section *section, GArray *errors)
{
  char name[KEY_SIZE];
  guint i;

  if (strcmp (section->kind, "server") == 0)
    {
      ini_copy (ini, section, "place", name, sizeof name);
      check_reference (ini, section, "place", config_find_zone (config, name),
                       errors);
    }
  if (strcmp (section->kind, "server") == 0
      || strcmp (section->kind, "binding") == 0)
    {
      ini_copy (ini, section, "service", name, sizeof name);
      check_reference (ini, section, "service",
                       config_find_service (config, name), errors);
    }
  if (strcmp (section->kind, "binding") == 0)
    {
      ini_copy (ini, section, "server", name, sizeof name);
      check_reference (ini, section, "server",
                       config_find_server (config, name), errors);
    }
  if (strcmp (section->kind, "rule") != 0)
    return;
  for (i = 0; i < config->rules->len; i++)
    {
      const struct config_rule *rule
          = &g_array_index (config->rules, struct config_rule, i);
      if (strcmp (rule->name, section->name) == 0)
        {
          check_rule (config, ini, section, rule, errors);
          return;
        }
    }
}
