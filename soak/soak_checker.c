#include "soak/soak_checker.h"

#define STATUS_SUCCESS 200u /* status of a server's answer */
#define STATUS_REFUSED 503u /* the request has not run */

/* Initialise CHECKER without any requests.  */
void
soak_checker_init (struct soak_checker *checker)
{
  *checker = (struct soak_checker){ 0 };
  checker->requests
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

/* Release what CHECKER holds.  */
void
soak_checker_clear (struct soak_checker *checker)
{
  g_hash_table_destroy (checker->requests);
}

/* Count and print a violation of GUARANTEE; DETAIL names the request or the
   servers concerned.  */
void
soak_checker_violation (struct soak_checker *checker, const char *guarantee,
                        const char *detail)
{
  checker->violation_count++;
  g_print ("violated: %s: %s\n", guarantee, detail);
}

/* Record at the time NOW that a caller sends the request ID, which may run at
   most once (AT_MOST_ONCE) or several times.  */
void
soak_checker_sent (struct soak_checker *checker, const char *id,
                   gboolean at_most_once, gint64 now)
{
  struct soak_request *request = g_new0 (struct soak_request, 1);

  request->at_most_once = at_most_once;
  request->sent_at = now;
  g_hash_table_insert (checker->requests, g_strdup (id), request);
  checker->sent_count++;
}

/* Record that the caller of the request ID, which was just recorded, will
   break it off.  */
void
soak_checker_breaks_off (struct soak_checker *checker, const char *id)
{
  struct soak_request *request = g_hash_table_lookup (checker->requests, id);

  request->breaks_off = TRUE;
  checker->sent_count--;
  checker->broken_count++;
}

/* Record that the caller of a request, which was recorded, has left before its
   answer.  */
void
soak_checker_abandoned (struct soak_checker *checker)
{
  checker->sent_count--;
  checker->broken_count++;
}

/* Record that a server begins to run the request ID.  WHOLE tells whether it
   got the body that the caller meant to send.  */
void
soak_checker_run_started (struct soak_checker *checker, const char *id,
                          gboolean whole)
{
  struct soak_request *request = g_hash_table_lookup (checker->requests, id);

  if (request == NULL)
    {
      soak_checker_violation (checker, "only sent requests run", id);
      return;
    }
  request->run_count++;
  if (!whole || request->breaks_off)
    soak_checker_violation (checker, "requests run with their whole body", id);
  if (request->at_most_once && request->run_count > 1)
    soak_checker_violation (checker, "at most one run", id);
  if (request->at_most_once && request->answer_status == STATUS_REFUSED)
    soak_checker_violation (checker, "a refused request does not run", id);
}

/* Record that the caller of ID got an answer with STATUS, or 0 if the
   connection ended without one.  COMPLETE tells whether the body is the whole
   answer to this request.  */
void
soak_checker_answered (struct soak_checker *checker, const char *id,
                       guint status, gboolean complete)
{
  struct soak_request *request = g_hash_table_lookup (checker->requests, id);

  request->answer_status = status;
  if (request->breaks_off)
    return;
  if (status == STATUS_SUCCESS)
    {
      checker->served_count++;
      if (!complete)
        soak_checker_violation (checker,
                                "each caller gets its complete answer", id);
      if (request->run_count == 0)
        soak_checker_violation (checker, "a successful request has run", id);
    }
  else if (status == STATUS_REFUSED)
    {
      checker->refused_count++;
      if (request->at_most_once && request->run_count > 0)
        soak_checker_violation (checker, "a refused request does not run", id);
    }
  else
    checker->failed_count++;
}
