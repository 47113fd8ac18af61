#ifndef BAMBOOTALLY_OWN_H
#define BAMBOOTALLY_OWN_H

#include "types/fence.h"
#include "types/reason.h"
#include "types/view.h"

struct core;

/* Whether this node may serve a slice, and if not, why.  */

struct own_right
{
  gboolean serves;    /* this node may serve the slice */
  enum reason reason; /* why it may not serve the slice */
  struct fence fence; /* fence to serve the slice under */
};

struct own_right own_check (const struct core *core,
                            const struct view_service *service, guint32 slice,
                            gint64 now);

#endif
