#ifndef BAMBOOTALLY_CONFIG_CHECK_H
#define BAMBOOTALLY_CONFIG_CHECK_H

#include "types/config.h"
#include "types/ini.h"

/* Checks how the objects of a configuration refer to one another.  */

void config_check_object (const struct config *config, const struct ini *ini,
                          const struct ini_section *section, GArray *errors);

#endif
