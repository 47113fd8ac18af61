#ifndef BAMBOOTALLY_OWNERSHIP_H
#define BAMBOOTALLY_OWNERSHIP_H

#include "types/fence.h"
#include "types/reason.h"
#include "types/view.h"

struct core;

/* Whether this node may serve a slice, and if not, why.  */

struct serve_right
{
  gboolean may_serve; /* this node may serve the slice */
  enum reason reason; /* why it may not serve the slice */
  struct fence fence; /* fence to serve the slice under */
};

struct serve_right ownership_check (const struct core *core,
                                    const struct view_service *service,
                                    guint32 slice, gint64 now);

#endif
