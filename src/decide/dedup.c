#include "decide/dedup.h"

#include <string.h>
#include <xxhash.h>

#define SWEEP_PER_ADMIT 2u /* entries looked at for each one added */

/* The digest of the id of REQUEST.  The texts' final zeros keep them
   apart.  */
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

/* Hash a key.  */
static guint
hash_key (gconstpointer data)
{
  return (guint)((const struct dedup_key *)data)->low;
}

/* Compare two keys.  */
static gboolean
equal_keys (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, sizeof (struct dedup_key)) == 0;
}

/* Set up an empty memory.  */
void
dedup_init (struct dedup *once)
{
  table_init (&once->entries, sizeof (struct dedup_entry));
  once->index = g_hash_table_new (hash_key, equal_keys);
  once->swept = HANDLE_NONE;
  once->limit = DEDUP_ENTRIES_MAX;
}

/* Release what ONCE holds.  */
void
dedup_clear (struct dedup *once)
{
  g_hash_table_destroy (once->index);
  table_clear (&once->entries);
}

/* How long ids of a service with TIMEOUT_MSEC are remembered.  */
gint64
dedup_retention (guint32 timeout_msec)
{
  gint64 timeouts
      = (gint64)timeout_msec * USEC_PER_MSEC * DEDUP_RETENTION_TIMEOUTS;

  return MAX (timeouts, DEDUP_RETENTION_MIN_USEC);
}

/* The entry under H.  */
static struct dedup_entry *
entry_at (const struct dedup *once, struct handle h)
{
  return table_get (&once->entries, h);
}

/* The handle of KEY, HANDLE_NONE if it is not remembered.  */
static struct handle
find (const struct dedup *once, const struct dedup_key *key)
{
  struct handle h
      = { GPOINTER_TO_UINT (g_hash_table_lookup (once->index, key)) };

  return h;
}

/* Forget the entry under H.  */
static void
remove_entry (struct dedup *once, struct handle h)
{
  g_hash_table_remove (once->index, &entry_at (once, h)->key);
  table_remove (&once->entries, h);
}

/* Remember KEY until UNTIL.  */
static void
remember (struct dedup *once, const struct dedup_key *key, gint64 until)
{
  struct handle h = table_add (&once->entries);
  struct dedup_entry *entry = entry_at (once, h);

  entry->key = *key;
  entry->expires_at = until;
  g_hash_table_insert (once->index, &entry->key, GUINT_TO_POINTER (h.bits));
}

/* Tell whether STAMP was given out under GRANT and is still remembered.  */
static gboolean
stamp_is_good (const struct stamp *stamp, const struct dedup_grant *grant,
               gint64 now)
{
  return stamp->clock_incarnation == grant->incarnation
         && fence_compare (stamp->fence, grant->fence) == 0
         && stamp->time_usec <= now
         && stamp->time_usec + grant->retention_usec > now;
}

/* Say whether REQUEST may run under GRANT at NOW.  If it may, its id is
   remembered.  What a known id ends with does not depend on its stamp.  */
struct dedup_result
dedup_admit (struct dedup *once, const struct request *request,
             const struct dedup_grant *grant, gint64 now)
{
  struct dedup_result verdict = { FALSE, OUTCOME_NOT_RUN, REASON_BAD_REQUEST };
  struct dedup_key key;
  struct handle known;

  dedup_sweep (once, SWEEP_PER_ADMIT, now);
  if (request->id[0] == '\0')
    return verdict;
  key = key_of (request);
  known = find (once, &key);
  if (handle_is_set (known) && entry_at (once, known)->expires_at > now)
    {
      verdict.outcome = OUTCOME_UNKNOWN;
      verdict.reason = REASON_DUPLICATE;
      return verdict;
    }
  if (request->stamp.time_usec == 0)
    {
      verdict.reason = REASON_NO_STAMP;
      return verdict;
    }
  if (!stamp_is_good (&request->stamp, grant, now))
    {
      verdict.outcome = OUTCOME_UNKNOWN;
      verdict.reason = REASON_OLD_STAMP;
      return verdict;
    }
  if (handle_is_set (known))
    remove_entry (once, known);
  if (once->entries.count >= once->limit)
    {
      verdict.reason = REASON_OVERLOAD;
      return verdict;
    }
  remember (once, &key, now + grant->retention_usec);
  verdict.may_run = TRUE;
  verdict.reason = REASON_NONE;
  return verdict;
}

/* Forget REQUEST, which was admitted and has provably not run.  */
void
dedup_remove (struct dedup *once, const struct request *request)
{
  struct dedup_key key = key_of (request);
  struct handle h = find (once, &key);

  if (handle_is_set (h))
    remove_entry (once, h);
}

/* Look at the next COUNT entries, and forget those whose time is over.  */
void
dedup_sweep (struct dedup *once, guint32 count, gint64 now)
{
  for (; count > 0; count--)
    {
      once->swept = table_next (&once->entries, once->swept);
      if (!handle_is_set (once->swept))
        return;
      if (entry_at (once, once->swept)->expires_at <= now)
        remove_entry (once, once->swept);
    }
}
