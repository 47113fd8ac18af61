#include "shard/grant.h"

/* A server whose port refuses connections for so long, and sends no beat
   meanwhile, gets no more requests.  */
#define REFUSED_USEC ((gint64)100000)

/* Time for a server to read the answer to its beat.  */
#define DENIED_USEC ((gint64)100000)

/* A server that sends no beat for so long is not counted on.  */
#define SILENT_USEC ((gint64)3000000)

#define FREED_MAX 128u /* tokens kept */

/* Set up for a server that is not known.  An earlier process may have granted
   something until HOLD_UNTIL.  */
void
grant_init (struct grant *grant, gint64 hold_until)
{
  memset (grant, 0, sizeof *grant);
  grant->granted_until = hold_until;
  grant->held_ranges = g_new0 (struct key_range, HEARTBEAT_RANGES_MAX);
  grant->granted_ranges = g_new0 (struct key_range, HEARTBEAT_RANGES_MAX);
  grant->released_ranges
      = g_array_new (FALSE, TRUE, sizeof (struct key_range));
}

/* Release what GRANT holds.  */
void
grant_clear (struct grant *grant)
{
  g_free (grant->held_ranges);
  g_free (grant->granted_ranges);
  g_array_free (grant->released_ranges, TRUE);
}

/* Another life of the server has begun.  It holds nothing yet, unless this
   process has never heard the server: then an earlier one may have granted it
   something.  */
static void
begin_life (struct grant *grant, const struct server_instance *server_instance)
{
  grant->instance = *server_instance;
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

/* Take the life that an earlier process knew as that of the server, until it
   is heard.  */
void
grant_restore_instance (struct grant *grant,
                        const struct server_instance *server_instance,
                        guint32 slots)
{
  if (server_instance_is_set (&grant->instance))
    return;
  grant->instance = *server_instance;
  grant->slots = slots;
}

/* Remember the token of a range that was freed.  */
static void
keep_token (struct grant *grant, const struct key_range *row)
{
  if (grant->released_ranges->len >= FREED_MAX)
    g_array_remove_index (grant->released_ranges, 0);
  g_array_append_val (grant->released_ranges, *row);
}

/* The server sent BEAT, which came at NOW.  */
enum grant_change
grant_on_heartbeat (struct grant *grant, const struct heartbeat *heartbeat,
                    gint64 now)
{
  enum grant_change peer_report = GRANT_SAME_INSTANCE;
  guint i;

  if (heartbeat->instance.started_at_msec < grant->instance.started_at_msec)
    return GRANT_OUTDATED;
  if (!server_instance_equal (&heartbeat->instance, &grant->instance))
    {
      begin_life (grant, &heartbeat->instance);
      peer_report = GRANT_NEW_INSTANCE;
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
    {
      grant->is_draining = TRUE;
      if (grant->leave_acked_at == 0)
        grant->leave_acked_at = now;
    }
  return peer_report;
}

/* The server ID says goodbye.  Return FALSE if that is not its life.  */
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

/* A connection to the server was refused at NOW.  Return TRUE once it is to be
   taken for dead.  */
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

/* The server said at NOW that it does not hold a key that it was granted: it
   may not have read that yet, and gets no keyed requests for a moment.  */
void
grant_on_key_denied (struct grant *grant, gint64 now)
{
  grant->denied_until = now + DENIED_USEC;
}

/* Another server answered at the address: the life that is known is over.  */
void
grant_on_misdirected (struct grant *grant)
{
  grant->presumed_dead = TRUE;
}

/* The server was answered with ANSWER at NOW.  */
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

/* Tell whether one of COUNT ROWS shares a key with FIRST to LAST.  */
static gboolean
overlaps (const struct key_range *rows, guint32 count, guint32 first,
          guint32 last)
{
  guint i;

  for (i = 0; i < count; i++)
    if (rows[i].first <= last && rows[i].last >= first)
      return TRUE;
  return FALSE;
}

/* Tell whether the server holds KEY at NOW as far as this node knows.  */
gboolean
grant_covers_key (const struct grant *grant, guint32 key, gint64 now)
{
  return now < grant->granted_until && !grant->presumed_dead
         && now >= grant->denied_until
         && overlaps (grant->granted_ranges, grant->granted_count, key, key);
}

/* Tell whether the server has said that it leaves.  */
gboolean
grant_is_leaving (const struct grant *grant)
{
  return grant->is_draining || grant->is_deregistered;
}

/* Tell whether nothing that was granted can be held any more.  That a port
   refuses connections does not prove that: a full server refuses some too.  */
gboolean
grant_is_expired (const struct grant *grant, gint64 now)
{
  return now >= grant->granted_until;
}

/* Tell whether the server can be counted on no more and holds nothing.  */
gboolean
grant_is_abandoned (const struct grant *grant, gint64 now)
{
  return grant_is_expired (grant, now)
         && (grant->presumed_dead || grant->is_deregistered
             || now - grant->last_heartbeat_at >= SILENT_USEC);
}

/* Tell whether the server does not hold any key of SHARD any more.  TOKEN is
   set to the handover token, or to an empty text.  */
gboolean
grant_is_released (const struct grant *grant, const struct shard *shard,
                   gint64 now, const char **token)
{
  guint i;

  *token = "";
  for (i = grant->released_ranges->len; i > 0; i--)
    {
      const struct key_range *row
          = &g_array_index (grant->released_ranges, struct key_range, i - 1);
      if (row->first <= shard->first && row->last >= shard->last)
        {
          *token = row->handover_token;
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
