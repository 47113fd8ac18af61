#ifndef BAMBOOTALLY_CONFIG_SERVER_H
#define BAMBOOTALLY_CONFIG_SERVER_H

#include "types/limits.h"
#include <glib.h>

/* What operators want to say of a backend server beforehand.  Servers that
   are not named here may join all the same.  */

struct config_server
{
  char name[NAME_SIZE];    /* name under which the server announces itself */
  char zone[NAME_SIZE];    /* zone it must stand in */
  char service[NAME_SIZE]; /* service it must serve */
  guint32 weight;          /* share of slices in percent of its slots */
};

#endif
