#ifndef BAMBOOTALLY_CERTIFICATE_H
#define BAMBOOTALLY_CERTIFICATE_H

#include "types/action.h"
#include "types/table.h"

struct core;

/* Certificates: proofs that an incarnation owns nothing any more.  */

struct certificate
{
  guint64 target;    /* the incarnation */
  guint64 floor;     /* highest floor among the promises */
  gint64 valid_at;   /* known here to be valid from then on */
  gboolean own;      /* collected here */
  gboolean reported; /* an `out' has been proposed */
  gboolean used;     /* this node has taken over what it gives */
  guint32 sends;     /* times it was sent to the nodes concerned */
  gint64 next_send;  /* when it is sent again, monotonic usec */
};

const struct certificate *certificate_find (const struct core *core,
                                            guint64 target);
void certificate_add (struct core *core, guint64 target, guint64 floor,
                      gboolean own, gint64 now, struct actions *out);
void certificate_on_call (struct core *core, const struct peer_certified *call,
                          gint64 now, struct actions *out);
void certificate_step (struct core *core, gint64 now, struct actions *out);

#endif
