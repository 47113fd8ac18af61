#include "shard/grant.h"

/* A server that has refused connections for this long, without a heartbeat in
   between, gets no more requests.  */
#define REFUSED_USEC ((gint64)100000)

/* Time for a server to read the answer to its heartbeat.  */
#define DENIED_USEC ((gint64)100000)

/* A server without a heartbeat for this long is not expected to serve any
   more.  */
#define HEARTBEAT_TIMEOUT_USEC ((gint64)3000000)

#define RELEASED_MAX 128u /* released ranges that are kept */

/* Initialize GRANT for an unknown server.  An earlier process of this node may
   have granted ranges until GRANTED_UNTIL.  */
void
grant_init (struct grant *grant, gint64 granted_until)
{
  memset (grant, 0, sizeof *grant);
  grant->granted_until = granted_until;
  grant->held_ranges = g_new0 (struct key_range, HEARTBEAT_RANGES_MAX);
  grant->granted_ranges = g_new0 (struct key_range, HEARTBEAT_RANGES_MAX);
  grant->released_ranges
      = g_array_new (FALSE, TRUE, sizeof (struct key_range));
}

/* Free the memory of GRANT.  */
void
grant_clear (struct grant *grant)
{
  g_free (grant->held_ranges);
  g_free (grant->granted_ranges);
  g_array_free (grant->released_ranges, TRUE);
}

/* Start over with INSTANCE, a new process of the server.  INSTANCE holds no
   keys yet, unless this process never received a heartbeat: then an earlier
   process of this node may have granted keys to INSTANCE.  */
static void
start_instance (struct grant *grant, const struct server_instance *instance,
                gint64 now)
{
  grant->instance = *instance;
  grant->instance_since = now;
  grant->heartbeat_sequence = 0;
  grant->is_draining = FALSE;
  grant->is_deregistered = FALSE;
  grant->presumed_dead = FALSE;
  grant->leave_acked_at = 0;
  grant->refused_since = 0;
  grant->held_count = 0;
  grant->granted_count = 0;
  if (grant->heartbeat_received)
    grant->granted_until = 0;
  g_array_set_size (grant->released_ranges, 0);
}

/* Restore the server instance known to an earlier process of this node, until
   the first heartbeat comes.  */
void
grant_restore_instance (struct grant *grant,
                        const struct server_instance *instance, guint32 slots)
{
  if (server_instance_is_set (&grant->instance))
    return;
  grant->instance = *instance;
  grant->slots = slots;
}

/* Keep RANGE, which was released, for its handover token; drop the oldest kept
   range if there are RELEASED_MAX.  */
static void
keep_token (struct grant *grant, const struct key_range *range)
{
  if (grant->released_ranges->len >= RELEASED_MAX)
    g_array_remove_index (grant->released_ranges, 0);
  g_array_append_val (grant->released_ranges, *range);
}

/* Record that the server announced at NOW that it stops.  */
void
grant_on_leaving (struct grant *grant, gint64 now)
{
  grant->is_draining = TRUE;
  if (grant->leave_acked_at == 0)
    grant->leave_acked_at = now;
}

/* Process HEARTBEAT, received at NOW.  */
enum grant_change
grant_on_heartbeat (struct grant *grant, const struct heartbeat *heartbeat,
                    gint64 now)
{
  enum grant_change change = GRANT_SAME_INSTANCE;
  guint i;

  if (heartbeat->instance.started_at_msec < grant->instance.started_at_msec)
    return GRANT_OUTDATED;
  if (!server_instance_equal (&heartbeat->instance, &grant->instance))
    {
      start_instance (grant, &heartbeat->instance, now);
      change = GRANT_NEW_INSTANCE;
    }
  else if (heartbeat->sequence <= grant->heartbeat_sequence)
    return GRANT_OUTDATED;
  grant->heartbeat_received = TRUE;
  grant->presumed_dead = FALSE;
  grant->refused_since = 0;
  grant->heartbeat_sequence = heartbeat->sequence;
  grant->slots = heartbeat->slots;
  grant->last_heartbeat_at = now;
  grant->held_count = heartbeat->held_count;
  memcpy (grant->held_ranges, heartbeat->held_ranges,
          heartbeat->held_count * sizeof *grant->held_ranges);
  for (i = 0; i < heartbeat->released_count; i++)
    keep_token (grant, &heartbeat->released_ranges[i]);
  if (heartbeat->draining)
    grant_on_leaving (grant, now);
  return change;
}

/* Process the deregistration of the server ID.  Return FALSE if ID is not the
   known instance.  */
gboolean
grant_on_deregister (struct grant *grant, const char *id, gint64 now)
{
  if (strcmp (grant->instance.id, id) != 0)
    return FALSE;
  grant->is_deregistered = TRUE;
  if (grant->leave_acked_at == 0)
    grant->leave_acked_at = now;
  return TRUE;
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

/* Record that the server rejected a request at NOW because it does not hold a
   key that it was granted.  The server may not have read the grant yet, so it
   gets no keyed requests for DENIED_USEC.  */
void
grant_on_key_denied (struct grant *grant, gint64 now)
{
  grant->denied_until = now + DENIED_USEC;
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
  if (!answer->renews_grant)
    return;
  grant->granted_count = answer->range_count;
  memcpy (grant->granted_ranges, answer->ranges,
          answer->range_count * sizeof *grant->granted_ranges);
  grant->granted_until = MAX (grant->granted_until, now + answer->grant_usec);
}

/* Return whether one of COUNT RANGES contains a key from FIRST to LAST.  */
static gboolean
overlaps (const struct key_range *ranges, guint32 count, guint32 first,
          guint32 last)
{
  guint i;

  for (i = 0; i < count; i++)
    if (ranges[i].first <= last && ranges[i].last >= first)
      return TRUE;
  return FALSE;
}

/* Return whether the server holds KEY at NOW to the knowledge of this
   node.  */
gboolean
grant_covers_key (const struct grant *grant, guint32 key, gint64 now)
{
  return now < grant->granted_until && !grant->presumed_dead
         && now >= grant->denied_until
         && overlaps (grant->granted_ranges, grant->granted_count, key, key);
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
  guint i;

  *token = "";
  for (i = grant->released_ranges->len; i > 0; i--)
    {
      const struct key_range *range
          = &g_array_index (grant->released_ranges, struct key_range, i - 1);
      if (range->first <= shard->first && range->last >= shard->last)
        {
          *token = range->handover_token;
          break;
        }
    }
  if (grant_is_expired (grant, now))
    return TRUE;
  return grant->heartbeat_received
         && !overlaps (grant->held_ranges, grant->held_count, shard->first,
                       shard->last)
         && !overlaps (grant->granted_ranges, grant->granted_count,
                       shard->first, shard->last);
}
