#ifndef SOAK_BOOK_H
#define SOAK_BOOK_H

#include <glib.h>

/* What callers were told and what servers did, and the promises that these
   must keep.  Nothing here knows the nodes.  */

struct soak_request
{
  gboolean once;  /* it must run at most once */
  guint runs;     /* servers that began to run it */
  guint status;   /* what its caller was told, 0: nothing yet */
  gint64 sent_at; /* when the caller sent it */
};

struct soak_book
{
  GHashTable *requests; /* id to struct soak_request */
  guint sent;           /* requests */
  guint served;         /* with success */
  guint refused;        /* with a promise that they have not run */
  guint failed;         /* in another way */
  guint broken;         /* promises */
};

void soak_book_init (struct soak_book *book);
void soak_book_clear (struct soak_book *book);
void soak_book_sent (struct soak_book *book, const char *id, gboolean once,
                     gint64 now);
void soak_book_ran (struct soak_book *book, const char *id);
void soak_book_told (struct soak_book *book, const char *id, guint status,
                     gboolean right);
void soak_book_break (struct soak_book *book, const char *promise,
                      const char *what);

#endif
