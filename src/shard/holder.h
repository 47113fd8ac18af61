#ifndef BAMBOOTALLY_HOLDER_H
#define BAMBOOTALLY_HOLDER_H

#include "types/server_instance.h"

/* A node whose server may be given keys.  */

struct holder
{
  char name[NAME_SIZE]; /* the node */
  struct server_instance instance;     /* its server's */
  guint32 weight;       /* its share among the weights of all */
};

#endif
