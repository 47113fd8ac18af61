#ifndef BAMBOOTALLY_SETTINGS_H
#define BAMBOOTALLY_SETTINGS_H

#include "decide/core_settings.h"
#include "types/err.h"
#include "types/config_error.h"

/* The settings file of a node.  */

struct settings
{
  struct core_settings core;  /* who the node is */
  struct address log_address; /* the platform's log service */
  char log_stream[NAME_SIZE]; /* the stream on it */
  char log_level[NAME_SIZE];  /* which events are logged */
};

enum err settings_read (struct settings *settings, const char *file,
                        GArray *errors);

#endif
