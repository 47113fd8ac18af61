#include "soak/soak_checker.h"

#define STATUS_SUCCESS 200u /* the server's answer */
#define STATUS_REFUSED 503u /* a promise that the request has not run */

/* Set up a book with nothing in it.  */
void
soak_checker_init (struct soak_checker *book)
{
  *book = (struct soak_checker){ 0 };
  book->requests
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

/* Release what BOOK holds.  */
void
soak_checker_clear (struct soak_checker *book)
{
  g_hash_table_destroy (book->requests);
}

/* PROMISE is broken by WHAT.  */
void
soak_checker_violation (struct soak_checker *book, const char *promise,
                        const char *what)
{
  book->violation_count++;
  g_print ("broken: %s: %s\n", promise, what);
}

/* A caller sends the request ID, which must run ONCE or may run again.  */
void
soak_checker_sent (struct soak_checker *book, const char *id, gboolean once,
                   gint64 now)
{
  struct soak_request *request = g_new0 (struct soak_request, 1);

  request->at_most_once = once;
  request->sent_at = now;
  g_hash_table_insert (book->requests, g_strdup (id), request);
  book->sent_count++;
}

/* A server begins to run the request ID.  */
void
soak_checker_run_started (struct soak_checker *book, const char *id)
{
  struct soak_request *request = g_hash_table_lookup (book->requests, id);

  if (request == NULL)
    {
      soak_checker_violation (book, "only what was asked runs", id);
      return;
    }
  request->run_count++;
  if (request->at_most_once && request->run_count > 1)
    soak_checker_violation (book, "at most once", id);
  if (request->at_most_once && request->answer_status == STATUS_REFUSED)
    soak_checker_violation (book, "refused is not run", id);
}

/* The caller of ID was answered with STATUS, or with 0 where the connection
   ended; RIGHT tells whether the body is the one for this request.  */
void
soak_checker_answered (struct soak_checker *book, const char *id, guint status,
                       gboolean right)
{
  struct soak_request *request = g_hash_table_lookup (book->requests, id);

  request->answer_status = status;
  if (status == STATUS_SUCCESS)
    {
      book->served_count++;
      if (!right)
        soak_checker_violation (book, "whole answers, each to its own caller",
                                id);
      if (request->run_count == 0)
        soak_checker_violation (book, "success means that it ran", id);
    }
  else if (status == STATUS_REFUSED)
    {
      book->refused_count++;
      if (request->at_most_once && request->run_count > 0)
        soak_checker_violation (book, "refused is not run", id);
    }
  else
    book->failed_count++;
}
