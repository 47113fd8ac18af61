#ifndef SCENARIO_PUBLICATION_H
#define SCENARIO_PUBLICATION_H

#include "types/limits.h"
#include <glib.h>

/* A configuration that an operator publishes.  */

struct publication
{
  char name[NAME_SIZE];   /* its name in the script */
  char author[NAME_SIZE]; /* the operator */
  guint64 base_offset;    /* configuration it is made from */
  guint64 offset;         /* where it stands, 0 if not yet on the log */
  gboolean accepted;      /* it was put in force */
};

#endif
