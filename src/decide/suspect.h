#ifndef BAMBOOTALLY_SUSPECT_H
#define BAMBOOTALLY_SUSPECT_H

#include "types/action.h"
#include "types/event.h"

struct core;
struct inflight;

/* Requests that crash the servers that run them.  When a server dies, the
   digests of the requests that it was running become suspect, on the log, so
   that every node knows.  A digest that has been suspect in two incidents is
   quarantined: requests with it are refused and do not run.  A digest whose
   requests have run to their end at this server is not reported by it.  */

#define SUSPECT_MAX 128u                            /* suspects remembered */
#define SUSPECT_COMPLETED_MAX 1024u                 /* digests known good */
#define SUSPECT_LOSSES_MAX 64u                      /* lost requests kept */
#define SUSPECT_RETENTION_USEC ((gint64)3600000000) /* a suspect is kept */
#define SUSPECT_INCIDENT_USEC ((gint64)2000000)     /* a loss and its cause */
#define SUSPECT_QUARANTINE_INCIDENTS 2u             /* incidents */

/* A digest that was reported.  */
struct suspect
{
  guint64 digest;         /* of the request, 0 where the place is free */
  guint32 incident_count; /* in which it was reported */
  gint64 expires_at;      /* forgotten then, monotonic usec */
};

/* A request that was lost with its connection to the server.  */
struct suspect_loss
{
  guint64 digest;    /* of the request, 0 where the place is free */
  gint64 expires_at; /* it belongs to an incident until then */
};

struct suspects
{
  struct suspect reported[SUSPECT_MAX];           /* reported on the log */
  guint64 completed[SUSPECT_COMPLETED_MAX];       /* by digest modulo */
  struct suspect_loss losses[SUSPECT_LOSSES_MAX]; /* a ring */
  guint32 next_loss;                              /* place of the next loss */
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
