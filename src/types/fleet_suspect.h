#ifndef BAMBOOTALLY_FLEET_SUSPECT_H
#define BAMBOOTALLY_FLEET_SUSPECT_H

#include <glib.h>

/* A request digest that was running when backend servers crashed.  */

struct fleet_suspect
{
  guint64 digest;      /* see struct request */
  guint32 crash_count; /* servers that crashed while running it */
  guint32 probe_count; /* times it was let through since it is held back */
};

#endif
