#ifndef BAMBOOTALLY_VIEW_SERVICE_H
#define BAMBOOTALLY_VIEW_SERVICE_H

#include "types/config_service.h"
#include "types/view_slice.h"

/* A service as the log describes it.  A hot key has a slice of its own, with
   a number from the count of hashed slices on.  */

#define HOT_KEYS_MAX 512u /* hot keys that one service may have */

struct view_hot_key
{
  char key[KEY_SIZE]; /* the key; empty where the place is free */
};

struct view_service
{
  struct config_service config; /* as last configured */
  gboolean configured;          /* whether the configuration has it now */
  GArray *slices;               /* struct view_slice: hashed, then hot */
  GArray *hot_keys;             /* struct view_hot_key, by slice less hashed */
  GHashTable *slice_by_hot_key; /* key to slice number */
  GArray *members;              /* struct handle of its nodes */
};

#endif
