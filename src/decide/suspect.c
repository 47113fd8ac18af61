#include "decide/suspect.h"

#include "decide/core.h"
#include "decide/inflight.h"

/* Requests that the server was running */

/* Record that a request with DIGEST was lost at NOW.  */
void
suspects_add_loss (struct suspects *suspects, guint64 digest, gint64 now)
{
  struct suspect_loss *loss = &suspects->losses[suspects->next_loss];

  loss->digest = digest;
  loss->expires_at = now + SUSPECT_INCIDENT_USEC;
  suspects->next_loss = (suspects->next_loss + 1) % SUSPECT_LOSSES_MAX;
}

/* Record that a request with DIGEST has run to completion.  */
void
suspects_add_completed (struct suspects *suspects, guint64 digest)
{
  suspects->completed[digest % SUSPECT_COMPLETED_MAX] = digest;
}

/* Handle the end of an attempt of INFLIGHT at the server: a completed one is
   stored as completed, a lost one as a loss.  */
void
suspects_on_ended (struct suspects *suspects, const struct inflight *inflight,
                   const struct event_attempt_ended *event, gint64 now)
{
  guint64 digest = inflight->request.digest;

  if (digest == 0)
    return;
  if (event->outcome == OUTCOME_DONE)
    suspects_add_completed (suspects, digest);
  else if (event->outcome == OUTCOME_UNKNOWN && !inflight->is_loss_counted
           && (event->reason == REASON_SERVER_DOWN
               || event->reason == REASON_TRUNCATED))
    suspects_add_loss (suspects, digest, now);
}

/* Store the requests that are running as lost, each of them once.  */
static void
add_running_losses (struct core *core, gint64 now)
{
  struct handle h = table_next (&core->requests, HANDLE_NONE);

  for (; handle_is_set (h); h = table_next (&core->requests, h))
    {
      struct inflight *inflight = table_get (&core->requests, h);
      if (inflight->phase != INFLIGHT_RUNNING || inflight->request.digest == 0)
        continue;
      suspects_add_loss (&core->suspects, inflight->request.digest, now);
      inflight->is_loss_counted = TRUE;
    }
}

/* Incidents */

/* Remove DIGEST from the losses, so that it is reported once.  */
static void
forget_loss (struct suspects *suspects, guint64 digest)
{
  guint i;

  for (i = 0; i < SUSPECT_LOSSES_MAX; i++)
    if (suspects->losses[i].digest == digest)
      suspects->losses[i].digest = 0;
}

/* Remove and return the next digest that was lost less than
   SUSPECT_INCIDENT_USEC before NOW and has never run to completion here.
   Return 0 if there is none.  */
guint64
suspects_take_loss (struct suspects *suspects, gint64 now)
{
  guint i;

  for (i = 0; i < SUSPECT_LOSSES_MAX; i++)
    {
      guint64 digest = suspects->losses[i].digest;
      gboolean is_recent
          = digest != 0 && suspects->losses[i].expires_at > now
            && suspects->completed[digest % SUSPECT_COMPLETED_MAX] != digest;
      forget_loss (suspects, digest);
      if (is_recent)
        return digest;
    }
  return 0;
}

/* Report DIGEST in a record on the log.  */
static void
report (struct core *core, guint64 digest, struct actions *out)
{
  struct record_suspect *body
      = &outbox_propose (&core->outbox, RECORD_SUSPECT)->body.suspect;
  struct log_event *log_event
      = &actions_add (out, ACTION_LOG_EVENT)->u.log_event;

  body->digest = digest;
  body->incarnation = core->settings.incarnation;
  log_event->id = LOG_EVENT_SUSPECT;
  g_snprintf (log_event->text, sizeof log_event->text,
              "%016" G_GINT64_MODIFIER "x", digest);
}

/* Handle a crash of the server: report each digest that it was running once,
   except those that have run to completion before.  */
void
suspects_on_crash (struct core *core, gint64 now, struct actions *out)
{
  guint64 digest;

  add_running_losses (core, now);
  while ((digest = suspects_take_loss (&core->suspects, now)) != 0)
    report (core, digest, out);
}

/* Reported digests */

/* Return the entry of DIGEST, or else one that is free or expires first.  */
static struct suspect *
find_entry (struct suspects *suspects, guint64 digest)
{
  struct suspect *best = &suspects->reported[0];
  guint i;

  for (i = 0; i < SUSPECT_MAX; i++)
    {
      struct suspect *item = &suspects->reported[i];
      if (item->digest == digest)
        return item;
      if (item->expires_at < best->expires_at)
        best = item;
    }
  return best;
}

/* Handle a report that was read from the log.  */
void
suspects_on_record (struct suspects *suspects,
                    const struct record_suspect *body, gint64 now)
{
  struct suspect *item = find_entry (suspects, body->digest);

  if (item->digest != body->digest || item->expires_at <= now)
    item->incident_count = 0;
  item->digest = body->digest;
  item->incident_count++;
  item->expires_at = now + SUSPECT_RETENTION_USEC;
}

/* Return whether requests with DIGEST are refused at NOW.  */
gboolean
suspects_is_quarantined (const struct suspects *suspects, guint64 digest,
                         gint64 now)
{
  guint i;

  for (i = 0; digest != 0 && i < SUSPECT_MAX; i++)
    if (suspects->reported[i].digest == digest)
      return suspects->reported[i].incident_count
                 >= SUSPECT_QUARANTINE_INCIDENTS
             && suspects->reported[i].expires_at > now;
  return FALSE;
}
