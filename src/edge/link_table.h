#ifndef BAMBOOTALLY_LINK_TABLE_H
#define BAMBOOTALLY_LINK_TABLE_H

#include "edge/link.h"

/* What the parts of the RPC links share: finding and ending connections.  */

struct link *link_find_or_open (struct links *links, struct address to);
void link_close (struct link *link, enum err code);
void link_fail_call (struct links *links, struct handle h,
                     const struct link_call *waiting, enum err code);

#endif
