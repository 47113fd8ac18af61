#ifndef BAMBOOTALLY_CONFIG_READ_H
#define BAMBOOTALLY_CONFIG_READ_H

#include "types/config.h"
#include "types/err.h"
#include "types/config_error.h"

/* Reads and checks a configuration as one set.  */

enum err config_read (struct config *config, const char *file,
                      const char *text, GArray *errors);
void config_compare (const struct config *before, const struct config *after,
                     const char *file, GArray *errors);

#endif
