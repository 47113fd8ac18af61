#ifndef BAMBOOTALLY_MESH_PROPOSAL_H
#define BAMBOOTALLY_MESH_PROPOSAL_H

#include "types/fleet_record.h"

/* The one record that a node has on its way to the store.  It is tried at the
   store first and then through a peer, under the same condition, so that it
   can take effect only once.  */

struct mesh_proposal
{
  gboolean is_pending;        /* there is one */
  gboolean sent_to_peer;      /* it went to a peer */
  guint64 serial;             /* of the append or the call under way */
  guint64 expected_end;       /* where the topic must end */
  gint64 started_at;          /* when it was sent last */
  struct fleet_record record; /* what is proposed */
};

#endif
