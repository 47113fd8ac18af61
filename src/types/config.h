#ifndef BAMBOOTALLY_CONFIG_H
#define BAMBOOTALLY_CONFIG_H

#include "types/config_binding.h"
#include "types/config_zone.h"
#include "types/config_rule.h"
#include "types/config_server.h"
#include "types/config_service.h"

/* A whole configuration: the operators' named objects, in the order of the
   text.  */

struct config
{
  GArray *zones;    /* struct config_zone */
  GArray *services; /* struct config_service */
  GArray *servers;  /* struct config_server */
  GArray *rules;    /* struct config_rule */
  GArray *bindings; /* struct config_binding */
};

void config_init (struct config *config);
void config_clear (struct config *config);
const struct config_zone *config_find_zone (const struct config *config,
                                            const char *name);
const struct config_service *config_find_service (const struct config *config,
                                                  const char *name);
const struct config_server *config_find_server (const struct config *config,
                                                const char *name);

#endif
