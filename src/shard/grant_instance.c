#include "shard/grant.h"

/* The instance of the server that a grant is for, and what it announces.  */

/* Forget the keys of a server that has ended.  */
static void
reset_keys (struct grant *grant)
{
  switch (grant->method)
    {
    case GRANT_BY_ANSWER:
      answer_grants_reset (&grant->u.answers);
      break;
    case GRANT_BY_CALL:
      lease_book_reset (&grant->u.calls);
      break;
    }
}

/* Note whether the known instance has deregistered before it was known.  */
static void
recall_departure (struct grant *grant)
{
  gint64 acked_at = departures_acked_at (&grant->departures, &grant->instance);

  if (acked_at == 0)
    return;
  grant->is_deregistered = TRUE;
  grant->leave_acked_at = acked_at;
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
  recall_departure (grant);
  if (grant->heartbeat_received)
    grant->granted_until = 0;
  reset_keys (grant);
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
  recall_departure (grant);
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
  if (grant->method == GRANT_BY_ANSWER)
    answer_grants_on_heartbeat (&grant->u.answers, heartbeat);
  if (heartbeat->draining)
    grant_on_leaving (grant, now);
  return change;
}

/* Process the deregistration of the server ID at NOW, which is AT_MSEC in
   milliseconds since 1970.  Return FALSE if ID is not the known instance; it
   is remembered in case it becomes known later.  */
gboolean
grant_on_deregister (struct grant *grant, const char *id, gint64 at_msec,
                     gint64 now)
{
  departures_add (&grant->departures, id, at_msec, now);
  if (strcmp (grant->instance.id, id) != 0)
    return FALSE;
  grant->is_deregistered = TRUE;
  if (grant->leave_acked_at == 0)
    grant->leave_acked_at = now;
  return TRUE;
}
