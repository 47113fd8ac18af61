#ifndef BAMBOOTALLY_SLICE_H
#define BAMBOOTALLY_SLICE_H

#include "types/view.h"

/* Maps keys to slices, and provides the hashes that placement uses.  */

guint64 slice_hash_text (const char *text);
guint64 slice_rank (guint64 a, guint64 b);
guint32 slice_of_key (const struct view_service *service, const char *key);

#endif
