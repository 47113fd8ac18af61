#ifndef BAMBOOTALLY_LINK_TABLE_H
#define BAMBOOTALLY_LINK_TABLE_H

#include "edge/link.h"

/* Functions shared by link.c and link_call.c: opening and closing
   connections.  */

struct link *link_find_or_open (struct links *links, struct address to);
void link_close (struct link *link, enum err code);
void link_fail_call (struct links *links, struct handle h,
                     const struct link_call *call, enum err code);

#endif
