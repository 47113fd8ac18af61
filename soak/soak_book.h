#ifndef SOAK_BOOK_H
#define SOAK_BOOK_H

#include <glib.h>

/* Records what callers were answered and what servers ran, and checks the
   guarantees that the two together must meet.  The nodes' own view of a
   request is not used.  */

struct soak_request
{
  gboolean once;  /* the request may run at most once */
  guint runs;     /* number of times that a server began to run it */
  guint status;   /* HTTP status that the caller got, 0: none yet */
  gint64 sent_at; /* time when the caller sent it, monotonic usec */
};

struct soak_book
{
  GHashTable *requests; /* request id to struct soak_request */
  guint sent;           /* requests sent by callers */
  guint served;         /* requests answered with success */
  guint refused;        /* requests answered as not run */
  guint failed;         /* requests that ended in another way */
  guint broken;         /* violations of a guarantee */
};

void soak_book_init (struct soak_book *checker);
void soak_book_clear (struct soak_book *checker);
void soak_book_sent (struct soak_book *checker, const char *id, gboolean once,
                     gint64 now);
void soak_book_ran (struct soak_book *checker, const char *id);
void soak_book_told (struct soak_book *checker, const char *id, guint status,
                     gboolean complete);
void soak_book_break (struct soak_book *checker, const char *guarantee,
                      const char *detail);

#endif
