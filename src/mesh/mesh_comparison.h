#ifndef BAMBOOTALLY_MESH_COMPARISON_H
#define BAMBOOTALLY_MESH_COMPARISON_H

#include "serve/even_load.h"

/* The servers among which one is chosen for a request.  `load' points into the
   struct, which must not be copied.  */

struct mesh_comparison
{
  struct even_load load;      /* the servers that were drawn */
  struct peer_state local;    /* state of the local server, if it is offered */
  struct handle local_member; /* member of this node, HANDLE_NONE: the local
                                 server is not offered */
};

#endif
