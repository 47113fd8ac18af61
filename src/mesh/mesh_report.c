#include "mesh/mesh_parts.h"

/* Nodes tell each other in their pulses of nodes that are silent, about to end
   or without the store, so that each knows that of all though it calls few.
   Of two entries for a node the one with the later word from it counts.  */

/* Something that changed is told for so long: it has crossed the fleet by
   then.  */
#define NEWS_USEC ((gint64)3000000)

/* A word from a node that is so much later than what an entry says makes the
   entry worth an answer.  */
#define REFUTE_USEC ((gint64)400000)

/* Word that is so old when it is told means that the node is silent.  */
#define SILENT_AGE_USEC ((gint64)900000)

/* Have the others be told of UPSTREAM.  */
void
mesh_report_mark (struct peer_state *peer_state, gint64 now)
{
  peer_state->reported_until = now + NEWS_USEC;
}

/* Tell whether UPSTREAM is worth an entry.  */
static gboolean
is_news (const struct peer_state *peer_state, gint64 now)
{
  return now < peer_state->reported_until || peer_state->is_unresponsive
         || peer_state->is_leaving || peer_state->store_lost;
}

/* Put into PULSE what is to be told, beginning where the last one ended.  */
void
mesh_report_fill (struct mesh *mesh, struct gossip *gossip, gint64 now)
{
  struct handle h = mesh->next_report;
  guint32 left = mesh->peers.count;

  for (; left > 0 && gossip->report_count < PEER_REPORTS_MAX; left--)
    {
      const struct peer_state *peer_state;
      h = table_next (&mesh->peers, h);
      if (!handle_is_set (h))
        h = table_next (&mesh->peers, HANDLE_NONE);
      peer_state = table_get (&mesh->peers, h);
      if (is_news (peer_state, now) && peer_state->recorded_incarnation != 0)
        {
          struct peer_report *peer_report
              = &gossip->reports[gossip->report_count++];
          peer_report->incarnation = peer_state->incarnation;
          peer_report->sequence = peer_state->last_sequence;
          peer_report->age_msec
              = (guint32)((now - peer_state_last_reported_at (peer_state))
                          / USEC_PER_MSEC);
          peer_report->leaving = peer_state->is_leaving;
          peer_report->store_lost = peer_state->store_lost;
        }
    }
  mesh->next_report = h;
}

/* Take in one entry that tells of no later word than is known.  It may say
   that the node has been silent since.  */
static void
take_old (struct peer_state *peer_state, const struct peer_report *peer_report,
          gint64 said, gint64 now)
{
  if (now - said < SILENT_AGE_USEC)
    return;
  if (now - peer_state->last_reported_at < SILENT_AGE_USEC)
    {
      if (peer_state->last_reported_at - said >= REFUTE_USEC)
        mesh_report_mark (peer_state, now);
    }
  else if (peer_report->sequence == peer_state->last_sequence
           && !peer_state->reported_unresponsive)
    {
      peer_state->reported_unresponsive = TRUE;
      mesh_report_mark (peer_state, now);
    }
}

/* Take in one entry, which goes BY_AGE if it comes from a process of a version
   that knows no stamps.  */
static void
take (struct peer_state *peer_state, const struct peer_report *peer_report,
      gboolean by_age, gint64 now)
{
  gint64 said = now - (gint64)peer_report->age_msec * USEC_PER_MSEC;
  gboolean suspected = now - said >= SILENT_AGE_USEC;
  gboolean later = by_age || peer_report->sequence > peer_state->last_sequence;

  peer_state->last_sequence
      = MAX (peer_state->last_sequence, peer_report->sequence);
  if (!later || said <= peer_state->last_reported_at)
    {
      take_old (peer_state, peer_report, said, now);
      return;
    }
  if (suspected != peer_state->reported_unresponsive
      || peer_report->leaving != peer_state->is_leaving
      || peer_report->store_lost != peer_state->store_lost)
    mesh_report_mark (peer_state, now);
  peer_state->last_reported_at = said;
  peer_state->reported_unresponsive = suspected;
  peer_state->is_leaving = peer_report->leaving;
  peer_state->store_lost = peer_report->store_lost;
}

/* The upstream whose process has INCARNATION, or NULL.  */
static struct peer_state *
find (struct mesh *mesh, guint64 incarnation)
{
  struct handle h = table_next (&mesh->peers, HANDLE_NONE);

  for (; handle_is_set (h); h = table_next (&mesh->peers, h))
    {
      struct peer_state *peer_state = table_get (&mesh->peers, h);
      if (peer_state->incarnation == incarnation)
        return peer_state;
    }
  return NULL;
}

/* Take in what PULSE tells.  */
void
mesh_report_apply (struct mesh *mesh, const struct gossip *gossip, gint64 now)
{
  guint32 i;

  for (i = 0; i < gossip->report_count; i++)
    {
      struct peer_state *peer_state
          = find (mesh, gossip->reports[i].incarnation);
      if (peer_state != NULL)
        take (peer_state, &gossip->reports[i], gossip->sequence == 0, now);
    }
}
