#ifndef BAMBOOTALLY_SETTINGS_H
#define BAMBOOTALLY_SETTINGS_H

#include "decide/core_settings.h"
#include "types/err.h"
#include "types/config_error.h"

/* The settings file of a node.  */

struct settings
{
  struct core_settings core;  /* identity and parameters of the core */
  struct address log_address; /* the platform's log service */
  char log_stream[NAME_SIZE]; /* name of the stream on the log service */
  char log_level[NAME_SIZE];  /* lowest level of logged events */
};

enum err settings_read (struct settings *settings, const char *file,
                        GArray *errors);

#endif
