#ifndef BAMBOOTALLY_FLEET_SUSPECT_H
#define BAMBOOTALLY_FLEET_SUSPECT_H

#include <glib.h>

/* A request digest that was running when backend servers crashed.  */

struct fleet_suspect
{
  guint64 digest;      /* of method, path and body */
  guint32 crash_count; /* so many servers */
};

#endif
