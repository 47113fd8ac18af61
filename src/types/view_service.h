#ifndef BAMBOOTALLY_VIEW_SERVICE_H
#define BAMBOOTALLY_VIEW_SERVICE_H

#include "types/config_service.h"
#include "types/view_slice.h"

/* A service as the log describes it.  A hot key has a slice of its own; the
   numbers of these slices follow those of the hashed slices.  */

#define HOT_MAX 512u /* hot keys of one service */

struct view_hot
{
  char key[KEY_SIZE]; /* hot key; empty if the entry is free */
};

struct view_service
{
  struct config_service config; /* latest configuration of the service */
  gboolean configured;          /* the current configuration has the service */
  GArray
      *slices; /* struct view_slice: hashed slices, then those of hot keys */
  GArray *hot; /* struct view_hot_key, in slice order */
  GHashTable *hot_index; /* slice number by hot key */
  GArray *members;       /* struct handle of the service's nodes */
};

#endif
