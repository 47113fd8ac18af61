#ifndef BAMBOOTALLY_EVENT_EVACUATIONS_H
#define BAMBOOTALLY_EVENT_EVACUATIONS_H

#include "types/evacuation.h"

/* Records of the operator's topic were read.  */
struct event_evacuations
{
  const struct evacuation *items; /* those that concern evacuations, in the
                                     order of their offsets unless
                                     `is_listing' */
  guint32 count;                  /* number of items */
  gboolean is_listing; /* the items are the newest records of all keys */
  guint64 next_offset; /* all records below this offset are now known */
};

#endif
