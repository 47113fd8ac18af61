#ifndef BAMBOOTALLY_FENCE_H
#define BAMBOOTALLY_FENCE_H

#include <glib.h>

/* What orders the owners of a slice: the log offset of the record that made
   the owner, then the takeovers since.  A server refuses a lower fence.  */

struct fence
{
  guint64 offset;         /* offset of the record that named the owner */
  guint32 takeover_count; /* takeovers by certificate since that record */
};

int fence_compare (struct fence a, struct fence b);
gboolean fence_parse (const char *text, struct fence *fence);
char *fence_format (struct fence fence);

#endif
