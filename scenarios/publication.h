#ifndef SCENARIO_PUBLICATION_H
#define SCENARIO_PUBLICATION_H

#include "types/limits.h"
#include <glib.h>

/* A configuration published by an operator.  */

struct publication
{
  char name[NAME_SIZE];   /* name in the script */
  char author[NAME_SIZE]; /* name of the operator */
  guint64
      base_offset;   /* log offset of the configuration it was derived from */
  guint64 offset;    /* its own log offset, 0 while not appended */
  gboolean accepted; /* came into force when it was appended */
};

#endif
