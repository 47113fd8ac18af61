#ifndef BAMBOOTALLY_MESH_PROPOSAL_H
#define BAMBOOTALLY_MESH_PROPOSAL_H

#include "types/fleet_record.h"

/* The one record that a node is appending to the store.  The record is sent to
   the store first and, if that fails, through a peer, under the same
   condition, so that it can take effect only once.  */

struct mesh_proposal
{
  gboolean is_pending;        /* a record is being appended */
  gboolean sent_to_peer;      /* the record went to a peer */
  guint64 serial;             /* serial of the append or call under way */
  guint64 expected_end;       /* offset at which the topic must end, or
                                 APPEND_UNCONDITIONAL */
  gint64 started_at;          /* when the record was sent to the store */
  struct fleet_record record; /* the proposed record */
};

#endif
