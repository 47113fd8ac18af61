#ifndef BAMBOOTALLY_HOLDER_H
#define BAMBOOTALLY_HOLDER_H

#include "types/life.h"

/* A node whose backend server may be assigned keys.  */

struct holder
{
  char name[NAME_SIZE]; /* name of the node */
  struct life life;     /* instance of its backend server */
  guint32 weight;       /* weight of its fair share of the keys */
};

#endif
