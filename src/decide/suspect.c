#include "decide/suspect.h"

#include "decide/core.h"
#include "decide/flight.h"

/* Requests that the server was running */

/* Store that a request with DIGEST was lost at NOW.  */
void
suspects_add_loss (struct suspects *suspects, guint64 digest, gint64 now)
{
  struct suspect_loss *loss = &suspects->lost[suspects->lost_next];

  loss->digest = digest;
  loss->until = now + SUSPECT_INCIDENT_USEC;
  suspects->lost_next = (suspects->lost_next + 1) % SUSPECT_LOST_MAX;
}

/* Store that a request with DIGEST has run to completion.  */
void
suspects_add_done (struct suspects *suspects, guint64 digest)
{
  suspects->done[digest % SUSPECT_DONE_MAX] = digest;
}

/* Handle the end of an attempt of INFLIGHT at the server: a
   completed one is stored as completed, a lost one as a loss.  */
void
suspects_on_ended (struct suspects *suspects, const struct flight *flight,
                   const struct event_ended *event, gint64 now)
{
  guint64 digest = flight->request.digest;

  if (digest == 0)
    return;
  if (event->outcome == OUTCOME_DONE)
    suspects_add_done (suspects, digest);
  else if (event->outcome == OUTCOME_UNKNOWN && !flight->suspected
           && (event->reason == REASON_SERVER_DOWN
               || event->reason == REASON_TRUNCATED))
    suspects_add_loss (suspects, digest, now);
}

/* Store the requests that are running as lost, each of them once.  */
static void
add_running_losses (struct core *core, gint64 now)
{
  struct handle h = table_next (&core->flights, HANDLE_NONE);

  for (; handle_is_set (h); h = table_next (&core->flights, h))
    {
      struct flight *flight = table_get (&core->flights, h);
      if (flight->phase != FLIGHT_RUNNING || flight->request.digest == 0)
        continue;
      suspects_add_loss (&core->suspects, flight->request.digest, now);
      flight->suspected = TRUE;
    }
}

/* Incidents */

/* Remove DIGEST from the losses, so that it is reported once.  */
static void
forget_loss (struct suspects *suspects, guint64 digest)
{
  guint i;

  for (i = 0; i < SUSPECT_LOST_MAX; i++)
    if (suspects->lost[i].digest == digest)
      suspects->lost[i].digest = 0;
}

/* Remove and return the next digest that was lost less than
   SUSPECT_INCIDENT_USEC before NOW and has never run to completion here.
   Return 0 if there is none.  */
guint64
suspects_next_loss (struct suspects *suspects, gint64 now)
{
  guint i;

  for (i = 0; i < SUSPECT_LOST_MAX; i++)
    {
      guint64 digest = suspects->lost[i].digest;
      gboolean is_recent
          = digest != 0 && suspects->lost[i].until > now
            && suspects->done[digest % SUSPECT_DONE_MAX] != digest;
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
  struct note *note = &actions_add (out, ACTION_NOTE)->u.note;

  body->digest = digest;
  body->incarnation = core->settings.incarnation;
  note->id = NOTE_SUSPECT;
  g_snprintf (note->text, sizeof note->text, "%016" G_GINT64_MODIFIER "x",
              digest);
}

/* Handle a crash of the server: report each digest that it was running once,
   except those that have run to completion before.  */
void
suspects_on_crash (struct core *core, gint64 now, struct actions *out)
{
  guint64 digest;

  add_running_losses (core, now);
  while ((digest = suspects_next_loss (&core->suspects, now)) != 0)
    report (core, digest, out);
}

/* Reported digests */

/* Return the entry of DIGEST, or else one that is free or expires first.  */
static struct suspect *
find_entry (struct suspects *suspects, guint64 digest)
{
  struct suspect *best = &suspects->items[0];
  guint i;

  for (i = 0; i < SUSPECT_MAX; i++)
    {
      struct suspect *item = &suspects->items[i];
      if (item->digest == digest)
        return item;
      if (item->until < best->until)
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

  if (item->digest != body->digest || item->until <= now)
    item->incidents = 0;
  item->digest = body->digest;
  item->incidents++;
  item->until = now + SUSPECT_MEMORY_USEC;
}

/* Return whether requests with DIGEST are refused at NOW.  */
gboolean
suspects_has_quarantined (const struct suspects *suspects, guint64 digest,
                          gint64 now)
{
  guint i;

  for (i = 0; digest != 0 && i < SUSPECT_MAX; i++)
    if (suspects->items[i].digest == digest)
      return suspects->items[i].incidents >= SUSPECT_QUARANTINED
             && suspects->items[i].until > now;
  return FALSE;
}
