#include "soak/soak_book.h"

#define STATUS_SUCCESS 200u /* status of a server's answer */
#define STATUS_REFUSED 503u /* status that says that the request has not run  \
                             */

/* Initialise CHECKER without any requests.  */
void
soak_book_init (struct soak_book *book)
{
  *book = (struct soak_book){ 0 };
  book->requests
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

/* Release what CHECKER holds.  */
void
soak_book_clear (struct soak_book *book)
{
  g_hash_table_destroy (book->requests);
}

/* Count and print a violation of GUARANTEE; DETAIL names the request or the
   servers concerned.  */
void
soak_book_break (struct soak_book *book, const char *promise, const char *what)
{
  book->broken++;
  g_print ("broken: %s: %s\n", promise, what);
}

/* Record at the time NOW that a caller sends the request ID, which may run at
   most once (ONCE) or several times.  */
void
soak_book_sent (struct soak_book *book, const char *id, gboolean once,
                gint64 now)
{
  struct soak_request *request = g_new0 (struct soak_request, 1);

  request->once = once;
  request->sent_at = now;
  g_hash_table_insert (book->requests, g_strdup (id), request);
  book->sent++;
}

/* Record that a server begins to run the request ID.  */
void
soak_book_ran (struct soak_book *book, const char *id)
{
  struct soak_request *request = g_hash_table_lookup (book->requests, id);

  if (request == NULL)
    {
      soak_book_break (book, "only what was asked runs", id);
      return;
    }
  request->runs++;
  if (request->once && request->runs > 1)
    soak_book_break (book, "at most once", id);
  if (request->once && request->status == STATUS_REFUSED)
    soak_book_break (book, "refused is not run", id);
}

/* Record that the caller of ID got an answer with STATUS, or 0 if the
   connection ended without one.  COMPLETE tells whether the body is the whole
   answer to this request.  */
void
soak_book_told (struct soak_book *book, const char *id, guint status,
                gboolean right)
{
  struct soak_request *request = g_hash_table_lookup (book->requests, id);

  request->status = status;
  if (status == STATUS_SUCCESS)
    {
      book->served++;
      if (!right)
        soak_book_break (book, "whole answers, each to its own caller", id);
      if (request->runs == 0)
        soak_book_break (book, "success means that it ran", id);
    }
  else if (status == STATUS_REFUSED)
    {
      book->refused++;
      if (request->once && request->runs > 0)
        soak_book_break (book, "refused is not run", id);
    }
  else
    book->failed++;
}
