#ifndef BAMBOOTALLY_CRASH_EVIDENCE_H
#define BAMBOOTALLY_CRASH_EVIDENCE_H

#include <glib.h>

/* What the node beside a server knows of requests that may have crashed it:
   which were lost, and which ended well.  Requests are named by their digests;
   see docs/design/crash-quarantine.md.  */

#define CRASH_LOSSES_MAX 64u      /* lost requests that are kept */
#define CRASH_COMPLETED_MAX 1024u /* digests of good runs that are kept */

/* A request, and when its run ended, monotonic microseconds.  */
struct crash_run
{
  guint64 digest; /* 0: free */
  gint64 ended_at;
};

struct crash_evidence
{
  struct crash_run losses[CRASH_LOSSES_MAX]; /* ring buffer */
  guint32 next_loss; /* index in the ring of the next loss */
  struct crash_run completed[CRASH_COMPLETED_MAX]; /* by digest modulo
                                                      CRASH_COMPLETED_MAX */
};

void crash_evidence_add_loss (struct crash_evidence *evidence, guint64 digest,
                              gint64 now);
void crash_evidence_add_completed (struct crash_evidence *evidence,
                                   guint64 digest, gint64 now);
gboolean crash_evidence_is_pending (const struct crash_evidence *evidence,
                                    gint64 now);
guint64 crash_evidence_take (struct crash_evidence *evidence,
                             gint64 answered_at, gint64 now);
void crash_evidence_reset (struct crash_evidence *evidence);

#endif
