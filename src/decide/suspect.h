#ifndef BAMBOOTALLY_SUSPECT_H
#define BAMBOOTALLY_SUSPECT_H

#include "types/action.h"
#include "types/event.h"

struct core;
struct inflight;

/* Quarantine of requests that crash servers.  When a server dies, the digests
   of the requests that it was running are reported as suspect on the log, so
   that every node knows them.  A digest that was reported in two incidents is
   quarantined: requests with it are refused and do not run.  A node does not
   report a digest whose requests have run to completion at its server.  */

#define SUSPECT_MAX 128u            /* reported digests that are kept */
#define SUSPECT_COMPLETED_MAX 1024u /* completed digests that are kept */
#define SUSPECT_LOSSES_MAX 64u      /* lost requests that are kept */
#define SUSPECT_RETENTION_USEC                                                \
  ((gint64)3600000000) /* a report is kept for so long */
#define SUSPECT_INCIDENT_USEC                                                 \
  ((gint64)2000000) /* longest time between the loss of a request and the     \
                       crash that explains it */
#define SUSPECT_QUARANTINE_INCIDENTS                                          \
  2u /* incidents that quarantine a digest */

/* A digest that was reported on the log.  */
struct suspect
{
  guint64 digest;         /* digest of the request, 0 for a free entry */
  guint32 incident_count; /* incidents in which the digest was reported */
  gint64 expires_at;      /* the entry is dropped then, monotonic usec */
};

/* A request that was lost with its connection to the server.  */
struct suspect_loss
{
  guint64 digest;    /* digest of the request, 0 for a free entry */
  gint64 expires_at; /* the loss belongs to an incident before then, monotonic
                        usec */
};

struct suspects
{
  struct suspect reported[SUSPECT_MAX];     /* digests reported on the log */
  guint64 completed[SUSPECT_COMPLETED_MAX]; /* digests that ran to completion,
                                               by digest modulo
                                               SUSPECT_COMPLETED_MAX */
  struct suspect_loss losses[SUSPECT_LOSSES_MAX]; /* ring buffer */
  guint32 next_loss; /* index in the ring of the next loss */
};

void suspects_add_loss (struct suspects *suspects, guint64 digest, gint64 now);
void suspects_add_completed (struct suspects *suspects, guint64 digest);
guint64 suspects_take_loss (struct suspects *suspects, gint64 now);
void suspects_on_ended (struct suspects *suspects,
                        const struct inflight *inflight,
                        const struct event_attempt_ended *event, gint64 now);
void suspects_on_record (struct suspects *suspects,
                         const struct record_suspect *body, gint64 now);
void suspects_on_crash (struct core *core, gint64 now, struct actions *out);
gboolean suspects_is_quarantined (const struct suspects *suspects,
                                  guint64 digest, gint64 now);

#endif
