#ifndef BAMBOOTALLY_FLEET_SUSPECT_H
#define BAMBOOTALLY_FLEET_SUSPECT_H

#include <glib.h>

/* A request digest that was running when backend servers crashed.  */

struct fleet_suspect
{
  guint64 digest;      /* digest of method, path and body */
  guint32 crash_count; /* servers that crashed while running it */
};

#endif
