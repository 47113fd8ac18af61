#include "types/config.h"

#include <string.h>

/* Set up an empty configuration.  */
void
config_init (struct config *config)
{
  config->zones = g_array_new (FALSE, TRUE, sizeof (struct config_zone));
  config->services = g_array_new (FALSE, TRUE, sizeof (struct config_service));
  config->servers = g_array_new (FALSE, TRUE, sizeof (struct config_server));
  config->rules = g_array_new (FALSE, TRUE, sizeof (struct config_rule));
  config->bindings = g_array_new (FALSE, TRUE, sizeof (struct config_binding));
}

/* Release all objects of CONFIG.  */
void
config_clear (struct config *config)
{
  g_array_free (config->zones, TRUE);
  g_array_free (config->services, TRUE);
  g_array_free (config->servers, TRUE);
  g_array_free (config->rules, TRUE);
  g_array_free (config->bindings, TRUE);
  memset (config, 0, sizeof *config);
}

/* Find the object called NAME in an array whose items begin with a name of
   NAME_SIZE bytes.  */
static const void *
find_named (const GArray *items, const char *name)
{
  guint i;
  guint size = g_array_get_element_size ((GArray *)items);

  for (i = 0; i < items->len; i++)
    {
      const char *item = items->data + (gsize)i * size;
      if (strcmp (item, name) == 0)
        return item;
    }
  return NULL;
}

/* Find a place by name, or NULL.  */
const struct config_zone *
config_find_zone (const struct config *config, const char *name)
{
  return find_named (config->zones, name);
}

/* Find a service by name, or NULL.  */
const struct config_service *
config_find_service (const struct config *config, const char *name)
{
  return find_named (config->services, name);
}

/* Find a server by name, or NULL.  */
const struct config_server *
config_find_server (const struct config *config, const char *name)
{
  return find_named (config->servers, name);
}
