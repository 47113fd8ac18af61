#ifndef BAMBOOTALLY_CONFIG_BINDING_H
#define BAMBOOTALLY_CONFIG_BINDING_H

#include "types/limits.h"

/* A binding: assigns a key to one backend server.  */

struct config_binding
{
  char name[NAME_SIZE];    /* name of the binding */
  char service[NAME_SIZE]; /* service of the key */
  char key[KEY_SIZE];      /* key that is bound */
  char server[NAME_SIZE];  /* backend server that must own the key */
};

#endif
