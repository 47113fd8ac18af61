#ifndef SOAK_CHECKER_H
#define SOAK_CHECKER_H

#include <glib.h>

/* Records what callers were answered and what servers ran, and checks the
   guarantees that the two together must meet.  The nodes' own view of a
   request is not used.  */

struct soak_request
{
  gboolean at_most_once; /* the request may run at most once */
  gboolean breaks_off;   /* its caller does not send all of its body */
  guint run_count;       /* number of times that a server began to run it */
  guint answer_status;   /* HTTP status that the caller got, 0: none yet */
  gint64 sent_at;        /* time when the caller sent it, monotonic usec */
};

struct soak_checker
{
  GHashTable *requests;  /* request id to struct soak_request */
  guint sent_count;      /* requests sent by callers */
  guint served_count;    /* requests answered with success */
  guint refused_count;   /* requests answered as not run */
  guint failed_count;    /* requests that ended in another way */
  guint broken_count;    /* requests whose callers broke them off or left; in
                            none of the other counts */
  guint violation_count; /* violations of a guarantee */
};

void soak_checker_init (struct soak_checker *checker);
void soak_checker_clear (struct soak_checker *checker);
void soak_checker_sent (struct soak_checker *checker, const char *id,
                        gboolean at_most_once, gint64 now);
void soak_checker_breaks_off (struct soak_checker *checker, const char *id);
void soak_checker_abandoned (struct soak_checker *checker);
void soak_checker_run_started (struct soak_checker *checker, const char *id,
                               gboolean whole);
void soak_checker_answered (struct soak_checker *checker, const char *id,
                            guint status, gboolean complete);
void soak_checker_violation (struct soak_checker *checker,
                             const char *guarantee, const char *detail);

#endif
