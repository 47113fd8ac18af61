#include "decide/dedup.h"

#include <string.h>
#include <xxhash.h>

#define SWEEP_PER_ADD 2u /* entries checked for expiry on each addition */

/* Return the digest of the id, service and key of REQUEST.  The terminating
   zeros separate the texts.  */
static struct dedup_key
key_of (const struct request *request)
{
  char text[NAME_SIZE + KEY_SIZE + REQUEST_ID_SIZE];
  gsize at = 0;
  XXH128_hash_t hash;
  struct dedup_key key;

  at += g_strlcpy (text + at, request->service, NAME_SIZE) + 1;
  at += g_strlcpy (text + at, request->key, KEY_SIZE) + 1;
  at += g_strlcpy (text + at, request->id, REQUEST_ID_SIZE) + 1;
  hash = XXH3_128bits (text, at);
  key.high = hash.high64;
  key.low = hash.low64;
  return key;
}

/* Return the hash of a key for the index.  */
static guint
hash_key (gconstpointer data)
{
  return (guint)((const struct dedup_key *)data)->low;
}

/* Tell whether two keys are equal.  */
static gboolean
equal_keys (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, sizeof (struct dedup_key)) == 0;
}

/* Set up an empty table.  */
void
dedup_init (struct dedup *dedup)
{
  table_init (&dedup->entries, sizeof (struct dedup_entry));
  dedup->index = g_hash_table_new (hash_key, equal_keys);
  dedup->sweep_position = HANDLE_NONE;
  dedup->entries_max = DEDUP_ENTRIES_MAX;
}

/* Release the memory of DEDUP.  */
void
dedup_clear (struct dedup *dedup)
{
  g_hash_table_destroy (dedup->index);
  table_clear (&dedup->entries);
}

/* Return how long, in microseconds, ids of a service whose requests time out
   after TIMEOUT_MSEC are kept.  */
gint64
dedup_retention (guint32 timeout_msec)
{
  gint64 timeouts
      = (gint64)timeout_msec * USEC_PER_MSEC * DEDUP_RETENTION_TIMEOUTS;

  return MAX (timeouts, DEDUP_RETENTION_MIN_USEC);
}

/* Return the entry under H.  */
static struct dedup_entry *
entry_at (const struct dedup *dedup, struct handle h)
{
  return table_get (&dedup->entries, h);
}

/* Return the handle of KEY, HANDLE_NONE if it is not in the table.  */
static struct handle
find (const struct dedup *dedup, const struct dedup_key *key)
{
  struct handle h
      = { GPOINTER_TO_UINT (g_hash_table_lookup (dedup->index, key)) };

  return h;
}

/* Remove the entry under H.  */
static void
remove_entry (struct dedup *dedup, struct handle h)
{
  g_hash_table_remove (dedup->index, &entry_at (dedup, h)->key);
  table_remove (&dedup->entries, h);
}

/* Add KEY, to be kept until EXPIRES_AT.  */
static void
add_entry (struct dedup *dedup, const struct dedup_key *key, gint64 expires_at)
{
  struct handle h = table_add (&dedup->entries);
  struct dedup_entry *entry = entry_at (dedup, h);

  entry->key = *key;
  entry->expires_at = expires_at;
  g_hash_table_insert (dedup->index, &entry->key, GUINT_TO_POINTER (h.bits));
}

/* Tell whether STAMP was issued under GRANT and ids of its time are still
   kept.  */
static gboolean
is_stamp_valid (const struct stamp *stamp, const struct dedup_grant *grant,
                gint64 now)
{
  return stamp->clock_incarnation == grant->incarnation
         && fence_compare (stamp->fence, grant->fence) == 0
         && stamp->time_usec <= now
         && stamp->time_usec + grant->retention_usec > now;
}

/* Tell whether REQUEST may run under GRANT at NOW, and add its id to the table
   if it may.  A request whose id is known is a duplicate, whatever its
   stamp.  */
struct dedup_result
dedup_admit (struct dedup *dedup, const struct request *request,
             const struct dedup_grant *grant, gint64 now)
{
  struct dedup_result result = { FALSE, OUTCOME_NOT_RUN, REASON_BAD_REQUEST };
  struct dedup_key key;
  struct handle known;

  dedup_sweep (dedup, SWEEP_PER_ADD, now);
  if (request->id[0] == '\0')
    return result;
  key = key_of (request);
  known = find (dedup, &key);
  if (handle_is_set (known) && entry_at (dedup, known)->expires_at > now)
    {
      result.outcome = OUTCOME_UNKNOWN;
      result.reason = REASON_DUPLICATE;
      return result;
    }
  if (request->stamp.time_usec == 0)
    {
      result.reason = REASON_NO_STAMP;
      return result;
    }
  if (!is_stamp_valid (&request->stamp, grant, now))
    {
      result.outcome = OUTCOME_UNKNOWN;
      result.reason = REASON_OLD_STAMP;
      return result;
    }
  if (handle_is_set (known))
    remove_entry (dedup, known);
  if (dedup->entries.count >= dedup->entries_max)
    {
      result.reason = REASON_OVERLOAD;
      return result;
    }
  add_entry (dedup, &key, now + grant->retention_usec);
  result.may_run = TRUE;
  result.reason = REASON_NONE;
  return result;
}

/* Remove the id of REQUEST, which was admitted and provably has not run.  */
void
dedup_remove (struct dedup *dedup, const struct request *request)
{
  struct dedup_key key = key_of (request);
  struct handle h = find (dedup, &key);

  if (handle_is_set (h))
    remove_entry (dedup, h);
}

/* Check the next COUNT entries, and remove those that have expired.  */
void
dedup_sweep (struct dedup *dedup, guint32 count, gint64 now)
{
  for (; count > 0; count--)
    {
      dedup->sweep_position
          = table_next (&dedup->entries, dedup->sweep_position);
      if (!handle_is_set (dedup->sweep_position))
        return;
      if (entry_at (dedup, dedup->sweep_position)->expires_at <= now)
        remove_entry (dedup, dedup->sweep_position);
    }
}
