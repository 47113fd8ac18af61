#include "soak/soak_book.h"

#define STATUS_SUCCESS 200u /* status of a server's answer */
#define STATUS_REFUSED                                                        \
  503u /* status that says that the request has not run                       \
        */

/* Initialise CHECKER without any requests.  */
void
soak_book_init (struct soak_book *checker)
{
  *checker = (struct soak_book){ 0 };
  checker->requests
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

/* Release what CHECKER holds.  */
void
soak_book_clear (struct soak_book *checker)
{
  g_hash_table_destroy (checker->requests);
}

/* Count and print a violation of GUARANTEE; DETAIL names the request or the
   servers concerned.  */
void
soak_book_break (struct soak_book *checker, const char *guarantee,
                 const char *detail)
{
  checker->broken++;
  g_print ("violated: %s: %s\n", guarantee, detail);
}

/* Record at the time NOW that a caller sends the request ID, which may run at
   most once (ONCE) or several times.  */
void
soak_book_sent (struct soak_book *checker, const char *id, gboolean once,
                gint64 now)
{
  struct soak_request *request = g_new0 (struct soak_request, 1);

  request->once = once;
  request->sent_at = now;
  g_hash_table_insert (checker->requests, g_strdup (id), request);
  checker->sent++;
}

/* Record that a server begins to run the request ID.  */
void
soak_book_ran (struct soak_book *checker, const char *id)
{
  struct soak_request *request = g_hash_table_lookup (checker->requests, id);

  if (request == NULL)
    {
      soak_book_break (checker, "only sent requests run", id);
      return;
    }
  request->runs++;
  if (request->once && request->runs > 1)
    soak_book_break (checker, "at most one run", id);
  if (request->once && request->status == STATUS_REFUSED)
    soak_book_break (checker, "a refused request does not run", id);
}

/* Record that the caller of ID got an answer with STATUS, or 0 if the
   connection ended without one.  COMPLETE tells whether the body is the whole
   answer to this request.  */
void
soak_book_told (struct soak_book *checker, const char *id, guint status,
                gboolean complete)
{
  struct soak_request *request = g_hash_table_lookup (checker->requests, id);

  request->status = status;
  if (status == STATUS_SUCCESS)
    {
      checker->served++;
      if (!complete)
        soak_book_break (checker, "each caller gets its complete answer", id);
      if (request->runs == 0)
        soak_book_break (checker, "a successful request has run", id);
    }
  else if (status == STATUS_REFUSED)
    {
      checker->refused++;
      if (request->once && request->runs > 0)
        soak_book_break (checker, "a refused request does not run", id);
    }
  else
    checker->failed++;
}
