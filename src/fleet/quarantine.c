#include "fleet/quarantine.h"

#include "types/request_digest.h"

#define SECOND_USEC ((gint64)1000000)
#define MINUTE_USEC (60 * SECOND_USEC)
#define HOUR_USEC (60 * MINUTE_USEC)

/* Time until the next probe, by the number of probes before.  The first one
   brings the third crash at the latest; at most three more follow in a day. */
static const gint64 probe_delays[]
    = { 3 * SECOND_USEC, 30 * SECOND_USEC, 5 * MINUTE_USEC, HOUR_USEC,
        24 * HOUR_USEC };

/* A record is dropped if it has not changed for so long.  That of a request
   that is held back outlasts the longest time between probes.  */
#define REPORTED_USEC HOUR_USEC
#define HELD_USEC (48 * HOUR_USEC)

/* Initialize QUARANTINE without entries.  */
void
quarantine_init (struct quarantine *quarantine)
{
  quarantine->entries
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
}

/* Free the memory of QUARANTINE.  */
void
quarantine_clear (struct quarantine *quarantine)
{
  g_hash_table_destroy (quarantine->entries);
}

/* Return the entry of DIGEST, or NULL.  */
const struct quarantine_entry *
quarantine_find (const struct quarantine *quarantine, guint64 digest)
{
  return g_hash_table_lookup (quarantine->entries, &digest);
}

/* Apply RECORD, read at NOW.  One that was appended late does not lower the
   counts.  */
void
quarantine_apply (struct quarantine *quarantine,
                  const struct fleet_suspect *record, gint64 now)
{
  struct quarantine_entry *entry
      = g_hash_table_lookup (quarantine->entries, &record->digest);
  struct fleet_suspect *known;

  if (entry == NULL)
    {
      entry = g_new0 (struct quarantine_entry, 1);
      entry->suspect.digest = record->digest;
      g_hash_table_insert (quarantine->entries, &entry->suspect.digest, entry);
    }
  known = &entry->suspect;
  known->crash_count = MAX (known->crash_count, record->crash_count);
  known->probe_count = MAX (known->probe_count, record->probe_count);
  entry->changed_at = now;
}

/* Forget DIGEST.  */
void
quarantine_remove (struct quarantine *quarantine, guint64 digest)
{
  g_hash_table_remove (quarantine->entries, &digest);
}

/* Return whether the request of ENTRY is held back.  */
static gboolean
is_held (const struct quarantine_entry *entry)
{
  return entry->suspect.crash_count >= QUARANTINE_CRASHES_MIN;
}

/* Return whether requests with DIGEST are held back.  */
gboolean
quarantine_holds (const struct quarantine *quarantine, guint64 digest)
{
  const struct quarantine_entry *entry = quarantine_find (quarantine, digest);

  return entry != NULL && is_held (entry);
}

/* Return whether any request that is held back has the head HEAD_DIGEST.  */
gboolean
quarantine_holds_head (const struct quarantine *quarantine,
                       guint64 head_digest)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, quarantine->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct quarantine_entry *entry = value;
      if (is_held (entry)
          && request_digest_has_head (entry->suspect.digest, head_digest))
        return TRUE;
    }
  return FALSE;
}

/* Return how many digests are held back.  */
guint
quarantine_held_count (const struct quarantine *quarantine)
{
  GHashTableIter iter;
  gpointer value;
  guint count = 0;

  g_hash_table_iter_init (&iter, quarantine->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += is_held (value);
  return count;
}

/* Return when the request of ENTRY may be let through next, monotonic
   microseconds.  */
gint64
quarantine_probe_at (const struct quarantine_entry *entry)
{
  guint last = G_N_ELEMENTS (probe_delays) - 1;

  return entry->changed_at
         + probe_delays[MIN (entry->suspect.probe_count, last)];
}

/* Record that a request with DIGEST ended well at NOW: the server went on.  */
void
quarantine_on_completed (struct quarantine *quarantine, guint64 digest,
                         gint64 now)
{
  struct quarantine_entry *entry
      = g_hash_table_lookup (quarantine->entries, &digest);

  if (entry != NULL)
    entry->completed_at = now;
}

/* Return an entry of a request that is held back though it ended well here, or
   NULL.  */
const struct quarantine_entry *
quarantine_next_sound (const struct quarantine *quarantine)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, quarantine->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct quarantine_entry *entry = value;
      if (is_held (entry) && entry->completed_at != 0)
        return entry;
    }
  return NULL;
}

/* Return an entry that has not changed for so long that it is dropped, or
   NULL.  */
const struct quarantine_entry *
quarantine_next_expired (const struct quarantine *quarantine, gint64 now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, quarantine->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct quarantine_entry *entry = value;
      if (now - entry->changed_at
          >= (is_held (entry) ? HELD_USEC : REPORTED_USEC))
        return entry;
    }
  return NULL;
}
