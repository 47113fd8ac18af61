#ifndef BAMBOOTALLY_CONFIG_SERVER_H
#define BAMBOOTALLY_CONFIG_SERVER_H

#include "types/limits.h"
#include <glib.h>

/* Settings for a backend server, made before it joins.  Servers without such
   settings may join too.  */

struct config_server
{
  char name[NAME_SIZE];    /* name that the server announces */
  char zone[NAME_SIZE];    /* zone that the server must be in */
  char service[NAME_SIZE]; /* service that the server must serve */
  guint32 weight; /* share of slices, in percent of the slots of the server */
};

#endif
