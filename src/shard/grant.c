#include "shard/grant.h"

/* A server that has refused connections for this long, without a heartbeat in
   between, gets no more requests.  */
#define REFUSED_USEC ((gint64)100000)

/* Time for a server to read the answer to its heartbeat.  */
#define DENIED_USEC ((gint64)100000)

/* A server without a heartbeat for this long is not expected to serve.  */
#define HEARTBEAT_TIMEOUT_USEC ((gint64)3000000)

#define RELEASED_MAX 128u /* handover tokens kept */

/* Initializes GRANT for an unknown server.  An earlier process of this node
   may have granted ranges until GRANTED_UNTIL.  */
void
grant_init (struct grant *grant, gint64 hold_until)
{
  memset (grant, 0, sizeof *grant);
  grant->hold_until = hold_until;
  grant->hold = g_new0 (struct beat_row, BEAT_ROWS_MAX);
  grant->give = g_new0 (struct beat_row, BEAT_ROWS_MAX);
  grant->freed = g_array_new (FALSE, TRUE, sizeof (struct beat_row));
}

/* Frees the memory of GRANT.  */
void
grant_clear (struct grant *grant)
{
  g_free (grant->hold);
  g_free (grant->give);
  g_array_free (grant->freed, TRUE);
}

/* Starts over with INSTANCE, a new process of the server.  It holds no keys
   yet, unless this process never received a heartbeat: then an earlier process
   of this node may have granted it some.  */
static void
start_instance (struct grant *grant, const struct life *life)
{
  grant->life = *life;
  grant->number = 0;
  grant->draining = FALSE;
  grant->left = FALSE;
  grant->dead = FALSE;
  grant->leave_at = 0;
  grant->refused_at = 0;
  grant->held = 0;
  grant->given = 0;
  if (grant->heard)
    grant->hold_until = 0;
  g_array_set_size (grant->freed, 0);
}

/* Restores the server instance known to an earlier process of this node, until
   the first heartbeat comes.  */
void
grant_adopt (struct grant *grant, const struct life *life, guint32 slots)
{
  if (life_is_set (&grant->life))
    return;
  grant->life = *life;
  grant->slots = slots;
}

/* Keeps the handover token of a released range.  */
static void
keep_token (struct grant *grant, const struct beat_row *row)
{
  if (grant->freed->len >= RELEASED_MAX)
    g_array_remove_index (grant->freed, 0);
  g_array_append_val (grant->freed, *row);
}

/* Processes HEARTBEAT, received at NOW.  */
enum grant_news
grant_on_beat (struct grant *grant, const struct beat *beat, gint64 now)
{
  enum grant_news change = GRANT_SAME;
  guint i;

  if (beat->life.born < grant->life.born)
    return GRANT_OUTDATED;
  if (!life_equal (&beat->life, &grant->life))
    {
      start_instance (grant, &beat->life);
      change = GRANT_NEW;
    }
  else if (beat->number <= grant->number)
    return GRANT_OUTDATED;
  grant->heard = TRUE;
  grant->dead = FALSE;
  grant->refused_at = 0;
  grant->number = beat->number;
  grant->slots = beat->slots;
  grant->beat_at = now;
  grant->held = beat->held;
  memcpy (grant->hold, beat->hold, beat->held * sizeof *grant->hold);
  for (i = 0; i < beat->freed; i++)
    keep_token (grant, &beat->free[i]);
  if (beat->draining)
    {
      grant->draining = TRUE;
      if (grant->leave_at == 0)
        grant->leave_at = now;
    }
  return change;
}

/* Processes the deregistration of the server ID.  Returns FALSE if ID is not
   the known instance.  */
gboolean
grant_on_leave (struct grant *grant, const char *id, gint64 now)
{
  if (strcmp (grant->life.id, id) != 0)
    return FALSE;
  grant->left = TRUE;
  if (grant->leave_at == 0)
    grant->leave_at = now;
  return TRUE;
}

/* Notes that a connection to the server was refused at NOW.  Returns TRUE once
   the server is presumed dead.  */
gboolean
grant_on_refused (struct grant *grant, gint64 now)
{
  if (grant->refused_at == 0)
    grant->refused_at = now;
  if (grant->dead || now - grant->refused_at < REFUSED_USEC
      || now - grant->beat_at < REFUSED_USEC)
    return FALSE;
  grant->dead = TRUE;
  return TRUE;
}

/* Notes that the server rejected a request at NOW because it does not hold a
   key that it was granted.  It may not have read the grant yet, so it gets no
   keyed requests for DENIED_USEC.  */
void
grant_on_denied (struct grant *grant, gint64 now)
{
  grant->doubt_until = now + DENIED_USEC;
}

/* Notes that another server answered at the address: the known instance has
   ended.  */
void
grant_on_misdirected (struct grant *grant)
{
  grant->dead = TRUE;
}

/* Notes that the server's heartbeat was answered with ANSWER at NOW.  */
void
grant_give (struct grant *grant, const struct beat_answer *answer, gint64 now)
{
  if (!answer->renews)
    return;
  grant->given = answer->count;
  memcpy (grant->give, answer->row, answer->count * sizeof *grant->give);
  grant->hold_until = MAX (grant->hold_until, now + answer->hold_usec);
}

/* Tells whether one of COUNT RANGES contains a key from FIRST to LAST.  */
static gboolean
overlaps (const struct beat_row *rows, guint32 count, guint32 first,
          guint32 last)
{
  guint i;

  for (i = 0; i < count; i++)
    if (rows[i].first <= last && rows[i].last >= first)
      return TRUE;
  return FALSE;
}

/* Tells whether the server holds KEY at NOW to the knowledge of this node.  */
gboolean
grant_has (const struct grant *grant, guint32 key, gint64 now)
{
  return now < grant->hold_until && !grant->dead && now >= grant->doubt_until
         && overlaps (grant->give, grant->given, key, key);
}

/* Tells whether the server has announced that it stops.  */
gboolean
grant_is_leaving (const struct grant *grant)
{
  return grant->draining || grant->left;
}

/* Tells whether all grants have expired.  Refused connections do not prove the
   server dead: a full server refuses some too.  */
gboolean
grant_is_over (const struct grant *grant, gint64 now)
{
  return now >= grant->hold_until;
}

/* Tells whether the server is not expected to serve again and holds no
   keys.  */
gboolean
grant_is_gone (const struct grant *grant, gint64 now)
{
  return grant_is_over (grant, now)
         && (grant->dead || grant->left
             || now - grant->beat_at >= HEARTBEAT_TIMEOUT_USEC);
}

/* Tells whether the server holds no key of SHARD any more.  Sets TOKEN to the
   handover token, or to an empty string.  */
gboolean
grant_is_released (const struct grant *grant, const struct shard *shard,
                   gint64 now, const char **token)
{
  guint i;

  *token = "";
  for (i = grant->freed->len; i > 0; i--)
    {
      const struct beat_row *row
          = &g_array_index (grant->freed, struct beat_row, i - 1);
      if (row->first <= shard->first && row->last >= shard->last)
        {
          *token = row->token;
          break;
        }
    }
  if (grant_is_over (grant, now))
    return TRUE;
  return grant->heard
         && !overlaps (grant->hold, grant->held, shard->first, shard->last)
         && !overlaps (grant->give, grant->given, shard->first, shard->last);
}
