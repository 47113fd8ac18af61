#ifndef BAMBOOTALLY_CERTIFICATE_H
#define BAMBOOTALLY_CERTIFICATE_H

#include "types/action.h"
#include "types/table.h"

struct core;

/* Certificates: proofs that an incarnation owns nothing any more.  */

struct certificate
{
  guint64 target;              /* the incarnation */
  guint64 floor;               /* highest floor among the promises */
  gint64 valid_at;             /* known here to be valid from then on */
  gboolean is_collected_here;  /* collected here */
  gboolean is_reported;        /* an `out' has been proposed */
  gboolean is_takeover_logged; /* this node has taken over what it gives */
  guint32 send_count;          /* times it was sent to the nodes concerned */
  gint64 next_send_at;         /* when it is sent again, monotonic usec */
};

const struct certificate *certificate_find (const struct core *core,
                                            guint64 target);
void certificate_add (struct core *core, guint64 target, guint64 floor,
                      gboolean own, gint64 now, struct actions *out);
void certificate_on_call (struct core *core, const struct peer_certified *call,
                          gint64 now, struct actions *out);
void certificate_step (struct core *core, gint64 now, struct actions *out);

#endif
