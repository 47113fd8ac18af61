#ifndef SOAK_BOOK_H
#define SOAK_BOOK_H

#include <glib.h>

/* What callers were told and what servers did, and the promises that these
   must keep.  Nothing here knows the nodes.  */

struct soak_request
{
  gboolean at_most_once; /* it must run at most once */
  guint run_count;       /* servers that began to run it */
  guint answer_status;   /* what its caller was told, 0: nothing yet */
  gint64 sent_at;        /* when the caller sent it */
};

struct soak_checker
{
  GHashTable *requests;  /* id to struct soak_request */
  guint sent_count;      /* requests */
  guint served_count;    /* with success */
  guint refused_count;   /* with a promise that they have not run */
  guint failed_count;    /* in another way */
  guint violation_count; /* promises */
};

void soak_checker_init (struct soak_checker *book);
void soak_checker_clear (struct soak_checker *book);
void soak_checker_sent (struct soak_checker *book, const char *id,
                        gboolean once, gint64 now);
void soak_checker_run_started (struct soak_checker *book, const char *id);
void soak_checker_answered (struct soak_checker *book, const char *id,
                            guint status, gboolean right);
void soak_checker_violation (struct soak_checker *book, const char *promise,
                             const char *what);

#endif
