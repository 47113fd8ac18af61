#ifndef BAMBOOTALLY_CONFIG_BINDING_H
#define BAMBOOTALLY_CONFIG_BINDING_H

#include "types/limits.h"

/* A binding: a key that is to be owned by a certain backend server.  */

struct config_binding
{
  char name[NAME_SIZE];    /* name of the binding */
  char service[NAME_SIZE]; /* service of the key */
  char key[KEY_SIZE];      /* the key */
  char server[NAME_SIZE];  /* backend server that is to own it */
};

#endif
