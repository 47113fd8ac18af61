#include "shard/grant.h"

/* A server that has refused connections for this long, without a heartbeat in
   between, gets no more requests.  */
#define REFUSED_USEC ((gint64)100000)

/* A server without a heartbeat for this long is not expected to serve any
   more.  */
#define HEARTBEAT_TIMEOUT_USEC ((gint64)3000000)

/* Initialize GRANT for an unknown server that is told its keys by METHOD.  An
   earlier process of this node may have granted ranges until
   GRANTED_UNTIL.  */
void
grant_init (struct grant *grant, enum grant_method method,
            gint64 granted_until)
{
  memset (grant, 0, sizeof *grant);
  grant->method = method;
  grant->granted_until = granted_until;
  switch (method)
    {
    case GRANT_BY_ANSWER:
      answer_grants_init (&grant->u.answers);
      break;
    case GRANT_BY_CALL:
      lease_book_init (&grant->u.calls);
      break;
    }
}

/* Free the memory of GRANT.  */
void
grant_clear (struct grant *grant)
{
  switch (grant->method)
    {
    case GRANT_BY_ANSWER:
      answer_grants_clear (&grant->u.answers);
      break;
    case GRANT_BY_CALL:
      lease_book_clear (&grant->u.calls);
      break;
    }
}

/* Record that a connection to the server was refused at NOW.  Return TRUE if
   the server is presumed dead from now on.  */
gboolean
grant_on_connection_refused (struct grant *grant, gint64 now)
{
  if (grant->refused_since == 0)
    grant->refused_since = now;
  if (grant->presumed_dead || now - grant->refused_since < REFUSED_USEC
      || now - grant->last_heartbeat_at < REFUSED_USEC)
    return FALSE;
  grant->presumed_dead = TRUE;
  return TRUE;
}

/* Record that the server rejected a request at NOW because it does not hold
   KEY, which it was granted.  */
void
grant_on_key_denied (struct grant *grant, guint32 key, gint64 now)
{
  switch (grant->method)
    {
    case GRANT_BY_ANSWER:
      answer_grants_on_denied (&grant->u.answers, now);
      break;
    case GRANT_BY_CALL:
      lease_book_on_denied (&grant->u.calls, key, now);
      break;
    }
}

/* Record that another server answered at the address: the known instance has
   ended.  */
void
grant_on_misdirected (struct grant *grant)
{
  grant->presumed_dead = TRUE;
}

/* Record that the server's heartbeat was answered with ANSWER at NOW.  */
void
grant_on_answered (struct grant *grant, const struct heartbeat_answer *answer,
                   gint64 now)
{
  if (!answer->renews_grant || grant->method != GRANT_BY_ANSWER)
    return;
  answer_grants_on_answered (&grant->u.answers, answer);
  grant->granted_until = MAX (grant->granted_until, now + answer->grant_usec);
}

/* Record that a grant was sent that the server counts as over at
   GRANTED_UNTIL at the latest, unless it arrives late.  */
void
grant_on_order_sent (struct grant *grant, gint64 granted_until)
{
  grant->granted_until = MAX (grant->granted_until, granted_until);
}

/* Return whether the server may be given requests.  What an earlier process
   recorded of it does not suffice: the server may have announced to that
   process that it leaves, and its record may not have been written.  So this
   process waits for the server's first heartbeat.  */
gboolean
grant_may_run (const struct grant *grant)
{
  return grant->heartbeat_received && !grant->presumed_dead;
}

/* Return whether the server holds KEY at NOW to the knowledge of this
   node.  */
gboolean
grant_covers_key (const struct grant *grant, guint32 key, gint64 now)
{
  if (now >= grant->granted_until || !grant_may_run (grant))
    return FALSE;
  switch (grant->method)
    {
    case GRANT_BY_ANSWER:
      return answer_grants_cover_key (&grant->u.answers, key, now);
    case GRANT_BY_CALL:
      return lease_book_covers_key (&grant->u.calls, key, now);
    }
  return FALSE;
}

/* Return whether the server has announced that it stops.  */
gboolean
grant_is_leaving (const struct grant *grant)
{
  return grant->is_draining || grant->is_deregistered;
}

/* Return whether all grants have expired.  Until then keys may be held even if
   connections are refused: a full server refuses some too.  */
gboolean
grant_is_expired (const struct grant *grant, gint64 now)
{
  return now >= grant->granted_until;
}

/* Return whether the server is not expected to serve again and holds no
   keys.  */
gboolean
grant_is_abandoned (const struct grant *grant, gint64 now)
{
  return grant_is_expired (grant, now)
         && (grant->presumed_dead || grant->is_deregistered
             || now - grant->last_heartbeat_at >= HEARTBEAT_TIMEOUT_USEC);
}

/* Return whether the server holds no key of SHARD any more.  Set TOKEN to the
   handover token, or to an empty string.  */
gboolean
grant_is_released (const struct grant *grant, const struct shard *shard,
                   gint64 now, const char **token)
{
  gboolean released = FALSE;

  switch (grant->method)
    {
    case GRANT_BY_ANSWER:
      *token = answer_grants_token (&grant->u.answers, shard);
      released = grant->heartbeat_received
                 && !answer_grants_hold (&grant->u.answers, shard);
      break;
    case GRANT_BY_CALL:
      released = lease_book_is_released (&grant->u.calls, shard, token);
      break;
    }
  return released || grant_is_expired (grant, now);
}

/* Return whether SHARD cannot be granted under its fence any more.  */
gboolean
grant_is_surrendered (const struct grant *grant, const struct shard *shard)
{
  switch (grant->method)
    {
    case GRANT_BY_ANSWER:
      return FALSE;
    case GRANT_BY_CALL:
      return lease_book_is_surrendered (&grant->u.calls, shard);
    }
  return FALSE;
}

/* Return whether the server said that it holds all of SHARD.  */
gboolean
grant_includes (const struct grant *grant, const struct shard *shard)
{
  return grant->method == GRANT_BY_ANSWER
         && answer_grants_include (&grant->u.answers, shard);
}

/* Return the number of ranges that are granted at NOW.  */
guint
grant_range_count (const struct grant *grant, gint64 now)
{
  switch (grant->method)
    {
    case GRANT_BY_ANSWER:
      return grant->u.answers.granted_count;
    case GRANT_BY_CALL:
      return lease_book_held_count (&grant->u.calls, now);
    }
  return 0;
}
