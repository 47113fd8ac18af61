#ifndef BAMBOOTALLY_EVACUATIONS_H
#define BAMBOOTALLY_EVACUATIONS_H

#include "types/evacuated_zones.h"
#include "types/evacuation.h"

/* The evacuated data centres as this node knows them.  Sets are ordered by the
   offset of the operator's topic that they take into account, and of two sets
   the one with the higher offset applies.  */

struct evacuations
{
  struct evacuated_zones zones; /* the set, as other nodes are told it */
  gint64 serve_until[EVACUATED_ZONES_MAX]; /* requests that servers there have
                                              accepted, or for keys that they
                                              hold, may start until then */
  guint32 dropped_count;  /* names that the set, which was full, did not
                             take */
  guint64 changed_offset; /* offset of the set in which a name was added or
                             removed last, 0: none ever was */
};

gboolean evacuations_is_newer (const struct evacuated_zones *zones,
                               const struct evacuated_zones *than);
gboolean evacuations_adopt (struct evacuations *evacuations,
                            const struct evacuated_zones *zones,
                            gint64 serve_until);
gboolean evacuations_read (struct evacuations *evacuations,
                           const struct evacuation *items, guint32 count,
                           gboolean is_listing, guint64 next_offset,
                           gint64 serve_until);
gboolean evacuations_include (const struct evacuations *evacuations,
                              const char *zone);
gint64 evacuations_serve_until (const struct evacuations *evacuations,
                                const char *zone);

#endif
