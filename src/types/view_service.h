#ifndef BAMBOOTALLY_VIEW_SERVICE_H
#define BAMBOOTALLY_VIEW_SERVICE_H

#include "types/config_service.h"
#include "types/view_slice.h"

/* A service as the log describes it.  A hot key has a slice of its own; the
   numbers of these slices follow those of the hashed slices.  */

#define HOT_KEYS_MAX 512u /* hot keys of one service */

struct view_hot_key
{
  char key[KEY_SIZE]; /* hot key; empty if the entry is free */
};

struct view_service
{
  struct config_service config; /* latest configuration of the service */
  gboolean configured;          /* the current configuration has the service */
  GArray *slices;               /* struct view_slice: hashed, then hot keys */
  GArray *hot_keys;             /* struct view_hot_key, in slice order */
  GHashTable *slice_by_hot_key; /* slice number by hot key */
  GArray *members;              /* struct handle of the service's nodes */
};

#endif
