#ifndef BAMBOOTALLY_OWN_H
#define BAMBOOTALLY_OWN_H

#include "types/fence.h"
#include "types/reason.h"
#include "types/view.h"

struct core;

/* Whether this node may serve a slice now, and if not, why.  */

struct own_right
{
  gboolean serves;    /* whether it may */
  enum reason reason; /* why not */
  struct fence fence; /* fence to serve under */
};

struct own_right own_check (const struct core *core,
                            const struct view_service *service, guint32 slice,
                            gint64 now);

#endif
