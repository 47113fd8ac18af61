#include "mesh/mesh_parts.h"

/* Gossip messages carry reports on nodes that are unresponsive, about to end
   or without the store.  So each node knows this of all nodes though it calls
   only a few.  Of two reports on a node the one about the later message from
   that node counts.  */

/* A change is reported for this long, enough to reach all nodes.  */
#define REPORT_USEC ((gint64)3000000)

/* If a report says that a peer is unresponsive, and this node knows of a
   message from the peer that is at least this much later than the reported
   one, this node sends its own report on the peer.  */
#define REFUTE_USEC ((gint64)400000)

/* A report whose last message is this old means that the node is
   unresponsive.  */
#define UNRESPONSIVE_AGE_USEC ((gint64)900000)

/* The index of peers is emptied when it has so many entries for each peer:
   most are of processes that have ended.  */
#define INDEX_ENTRIES_PER_PEER 2u

/* Include a report on PEER in gossip messages for REPORT_USEC from NOW on.  */
void
mesh_report_mark (struct peer_state *peer, gint64 now)
{
  peer->reported_until = now + REPORT_USEC;
}

/* Return whether a report on PEER is to be sent.  */
static gboolean
is_reportable (const struct peer_state *peer, gint64 now)
{
  return now < peer->reported_until || peer->is_unresponsive
         || peer->is_leaving || peer->store_lost;
}

/* Add reports to GOSSIP, continuing after the peer that was reported last.  */
void
mesh_report_fill (struct mesh *mesh, struct gossip *gossip, gint64 now)
{
  struct handle h = mesh->next_report;
  guint32 left = mesh->peers.count;

  for (; left > 0 && gossip->report_count < PEER_REPORTS_MAX; left--)
    {
      const struct peer_state *peer;
      h = table_next (&mesh->peers, h);
      if (!handle_is_set (h))
        h = table_next (&mesh->peers, HANDLE_NONE);
      peer = table_get (&mesh->peers, h);
      if (is_reportable (peer, now) && peer->recorded_incarnation != 0)
        {
          struct peer_report *report
              = &gossip->reports[gossip->report_count++];
          report->incarnation = peer->incarnation;
          report->sequence = peer->last_sequence;
          report->age_msec
              = (guint32)((now - peer_state_last_reported_at (peer))
                          / USEC_PER_MSEC);
          report->leaving = peer->is_leaving;
          report->store_lost = peer->store_lost;
        }
    }
  mesh->next_report = h;
}

/* Apply REPORT on PEER, whose last message by the report, at REPORTED_AT, is
   no later than the one known here.  The report may still show that the peer
   has been unresponsive since.  */
static void
apply_old_report (struct peer_state *peer, const struct peer_report *report,
                  gint64 reported_at, gint64 now)
{
  if (now - reported_at < UNRESPONSIVE_AGE_USEC)
    return;
  if (now - peer->last_reported_at < UNRESPONSIVE_AGE_USEC)
    {
      if (peer->last_reported_at - reported_at >= REFUTE_USEC)
        mesh_report_mark (peer, now);
    }
  else if (report->sequence == peer->last_sequence
           && !peer->reported_unresponsive)
    {
      peer->reported_unresponsive = TRUE;
      mesh_report_mark (peer, now);
    }
}

/* Apply REPORT to the state of PEER.  Reports are ordered by the sequence
   numbers of the messages, or by their age if BY_AGE is set, for a sender
   whose version has no sequence numbers.  */
static void
apply_report (struct peer_state *peer, const struct peer_report *report,
              gboolean by_age, gint64 now)
{
  gint64 reported_at = now - (gint64)report->age_msec * USEC_PER_MSEC;
  gboolean unresponsive = now - reported_at >= UNRESPONSIVE_AGE_USEC;
  gboolean later = by_age || report->sequence > peer->last_sequence;

  peer->last_sequence = MAX (peer->last_sequence, report->sequence);
  if (!later || reported_at <= peer->last_reported_at)
    {
      apply_old_report (peer, report, reported_at, now);
      return;
    }
  if (unresponsive != peer->reported_unresponsive
      || report->leaving != peer->is_leaving
      || report->store_lost != peer->store_lost)
    mesh_report_mark (peer, now);
  peer->last_reported_at = reported_at;
  peer->reported_unresponsive = unresponsive;
  peer->is_leaving = report->leaving;
  peer->store_lost = report->store_lost;
}

/* Return the member whose process has INCARNATION, or HANDLE_NONE.  */
struct handle
mesh_peer_of (struct mesh *mesh, guint64 incarnation)
{
  gint64 key = (gint64)incarnation;
  struct handle h = { GPOINTER_TO_UINT (
      g_hash_table_lookup (mesh->peers_by_incarnation, &key)) };
  struct peer_state *indexed = table_get (&mesh->peers, h);

  if (indexed != NULL && indexed->incarnation == incarnation)
    return h;
  if (handle_is_set (h))
    g_hash_table_remove (mesh->peers_by_incarnation, &key);
  h = table_next (&mesh->peers, HANDLE_NONE);
  for (; handle_is_set (h); h = table_next (&mesh->peers, h))
    {
      const struct peer_state *peer = table_get (&mesh->peers, h);
      if (peer->incarnation != incarnation)
        continue;
      if (g_hash_table_size (mesh->peers_by_incarnation)
          >= INDEX_ENTRIES_PER_PEER * mesh->peers.count)
        g_hash_table_remove_all (mesh->peers_by_incarnation);
      g_hash_table_insert (mesh->peers_by_incarnation,
                           g_memdup2 (&key, sizeof key),
                           GUINT_TO_POINTER (h.bits));
      return h;
    }
  return HANDLE_NONE;
}

/* Apply the reports in GOSSIP.  */
void
mesh_report_apply (struct mesh *mesh, const struct gossip *gossip, gint64 now)
{
  guint32 i;

  for (i = 0; i < gossip->report_count; i++)
    {
      struct peer_state *peer = table_get (
          &mesh->peers, mesh_peer_of (mesh, gossip->reports[i].incarnation));
      if (peer != NULL)
        apply_report (peer, &gossip->reports[i], gossip->sequence == 0, now);
    }
}
