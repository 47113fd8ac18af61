#ifndef BAMBOOTALLY_CERTIFICATE_H
#define BAMBOOTALLY_CERTIFICATE_H

#include "types/action.h"
#include "types/table.h"

struct core;

/* Removal certificates.  A certificate proves that an incarnation can hold no
   lease any more: a majority of its witnesses promised never to ack it again,
   and the last acks have expired.  */

struct certificate
{
  guint64 target; /* incarnation that can hold no lease any more */
  /* highest floor among the promises: the target may have begun handoffs up
     to this log offset, so a successor applies the log past it before it
     serves */
  guint64 floor;
  gint64 valid_at; /* since when the certificate is known to be valid,
                      monotonic usec */
  gboolean is_collected_here;  /* this node collected the promises */
  gboolean is_reported;        /* the removal has been proposed to the log */
  gboolean is_takeover_logged; /* the takeover that the certificate allows has
                                  been logged */
  guint32 send_count;          /* times this node has sent the certificate */
  gint64 next_send_at; /* when the certificate is sent again, monotonic usec */
};

const struct certificate *certificate_find (const struct core *core,
                                            guint64 target);
void certificate_add (struct core *core, guint64 target, guint64 floor,
                      gboolean is_collected_here, gint64 now,
                      struct actions *out);
void certificate_on_call (struct core *core, const struct peer_certified *call,
                          gint64 now, struct actions *out);
void certificate_step (struct core *core, gint64 now, struct actions *out);

#endif
