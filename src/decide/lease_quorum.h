#ifndef BAMBOOTALLY_LEASE_QUORUM_H
#define BAMBOOTALLY_LEASE_QUORUM_H

#include "decide/lease.h"

/* What majorities of the witnesses of a lease have acked.  */

struct lease_witness *lease_find_witness (struct lease *lease,
                                          guint64 incarnation);
gint64 quorum_acked_at (struct lease *lease, const guint64 *set,
                        guint32 count);
gboolean quorum_has_floor (const struct lease *lease, const guint64 *set,
                           guint32 count, guint64 floor);

#endif
