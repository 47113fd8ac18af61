#include "mesh/mesh_parts.h"

/* Keys are granted for two beats and the time that one may come late, so that
   a lost beat does not cost the server its keys.  */
#define HOLD_BEATS 2
#define HOLD_LATE_USEC ((gint64)1200000)

#define QUEUE_PER_SLOT 4u /* requests that may wait for each slot */

/* How long the server may hold keys from now on; 0 if not at all.  */
static gint64
hold_time (const struct mesh *mesh, gint64 now)
{
  gint64 hold = HOLD_BEATS * mesh->settings.heartbeat_usec + HOLD_LATE_USEC;

  hold = MIN (hold, mesh->settings.max_grant_usec);
  hold = MIN (hold, session_left (&mesh->session, now));
  hold = hold * 100 / (100 + HOLD_DRIFT_PERCENT);
  return hold >= HOLD_LEAST_USEC ? hold : 0;
}

/* Work out what the server is to hold.  */
static void
fill_answer (struct mesh *mesh, gint64 now, struct beat_answer *answer,
             struct actions *out)
{
  const struct shard_map *map
      = roster_map (&mesh->fleet, mesh->settings.service);
  GArray *holders = mesh_candidates (mesh, mesh->settings.service, now);
  struct duty duty = { mesh->settings.name, &mesh->grant, holders, now };

  answer->hold_usec = hold_time (mesh, now);
  answer->renews = map != NULL && mesh->initial_read_done && answer->hold_usec > 0;
  if (answer->renews)
    {
      struct shard_map safe = mesh_unconfirmed_exclude (mesh, map);
      mesh_handoffs_apply (mesh, &safe, holders, now);
      mesh_balance (mesh, &safe, holders, now, out);
      mesh_handoffs_apply (mesh, &safe, holders, now);
      shard_rows (&safe, &duty, answer);
      shard_map_clear (&safe);
      grant_give (&mesh->grant, answer, now);
    }
  g_array_free (holders, TRUE);
}

/* Say what a beat changed.  */
static void
note_beat (struct mesh *mesh, const struct beat *beat, enum grant_news news,
           const struct beat_answer *answer, struct actions *out)
{
  if (news == GRANT_NEW)
    mesh_log (out, NOTE_MESH_SERVER, beat->life.id,
               "outcome=begun born=%" G_GINT64_FORMAT
               " service=%s slots=%u cold_ms=%" G_GINT64_FORMAT,
               beat->life.born, beat->service, beat->slots,
               beat->cold_usec / USEC_PER_MSEC);
  if (beat->freed > 0 || beat->held != answer->count || beat->draining
      || news != GRANT_SAME)
    mesh_log (
        out, NOTE_MESH_BEAT, beat->life.id,
        "number=%" G_GUINT64_FORMAT " held=%u freed=%u draining=%d "
        "given=%u hold_ms=%" G_GINT64_FORMAT " records=%" G_GUINT64_FORMAT
        " session_ms=%" G_GINT64_FORMAT,
        beat->number, beat->held, beat->freed, beat->draining, answer->count,
        answer->renews ? answer->hold_usec / USEC_PER_MSEC : 0,
        mesh->fleet.next,
        session_left (&mesh->session, mesh->last_event_at) / USEC_PER_MSEC);
}

/* Refuse the beat CALL with CODE.  */
static void
refuse (guint32 call, enum err code, struct actions *out)
{
  struct action_beat_answer *action
      = &actions_add (out, ACTION_BEAT_ANSWER)->u.beat_answer;

  action->call = call;
  action->code = code;
}

/* The server beside this node sent a beat.  */
void
mesh_heartbeat (struct mesh *mesh, const struct event_beat *event, gint64 now,
           struct actions *out)
{
  const struct beat *beat = event->beat;
  struct beat_answer *answer;
  enum grant_news news;

  if (!address_equal (beat->address, mesh->settings.server_address))
    {
      mesh_log (out, NOTE_MESH_BAD_INPUT, beat->life.id,
                 "what=beat reason=address");
      refuse (event->call, ERR_INVALID, out);
      return;
    }
  if (life_is_set (&mesh->grant.life)
      && beat->life.born > mesh->grant.life.born && !mesh->grant.dead)
    mesh_server_crashed (mesh, now, out);
  news = grant_on_beat (&mesh->grant, beat, now);
  if (news == GRANT_NEW)
    memset (&mesh->run_times, 0, sizeof mesh->run_times);
  answer = g_new0 (struct beat_answer, 1);
  if (news != GRANT_OUTDATED)
    {
      g_strlcpy (mesh->settings.service, beat->service,
                 sizeof mesh->settings.service);
      admission_set_slots (&mesh->admission, beat->slots, QUEUE_PER_SLOT * beat->slots);
      fill_answer (mesh, now, answer, out);
    }
  note_beat (mesh, beat, news, answer, out);
  actions_add (out, ACTION_BEAT_ANSWER)->u.beat_answer.call = event->call;
  g_array_index (out->items, struct action, out->items->len - 1)
      .u.beat_answer.answer
      = answer;
  mesh_plan_step (mesh, now, out);
  mesh_admit_queued (mesh, now, out);
}

/* A server says goodbye.  One that is not known here needs no more than the
   answer.  */
void
mesh_deregister (struct mesh *mesh, const struct event_beat_end *event,
               gint64 now, struct actions *out)
{
  gboolean known = grant_on_leave (&mesh->grant, event->id, now);

  mesh_log (out, NOTE_MESH_SERVER, event->id, "outcome=%s",
             known ? "leaves" : "unknown");
  refuse (event->call, ERR_NONE, out);
  mesh_plan_step (mesh, now, out);
}
