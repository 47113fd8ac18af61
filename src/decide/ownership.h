#ifndef BAMBOOTALLY_OWNERSHIP_H
#define BAMBOOTALLY_OWNERSHIP_H

#include "types/fence.h"
#include "types/reason.h"
#include "types/view.h"

struct core;

/* Whether this node may serve a slice now, and if not, why.  */

struct serve_right
{
  gboolean may_serve; /* whether it may */
  enum reason reason; /* why not */
  struct fence fence; /* fence to serve under */
};

struct serve_right ownership_check (const struct core *core,
                                    const struct view_service *service,
                                    guint32 slice, gint64 now);

#endif
