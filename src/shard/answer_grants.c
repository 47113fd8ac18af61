#include "shard/answer_grants.h"

#include <string.h>

/* Time for a server to read the answer to its heartbeat.  */
#define DENIED_USEC ((gint64)100000)

#define RELEASED_MAX 128u /* released ranges that are kept */

/* Initialize ANSWERS without any keys.  */
void
answer_grants_init (struct answer_grants *answers)
{
  memset (answers, 0, sizeof *answers);
  answers->granted_ranges = g_new0 (struct key_range, ANSWER_RANGES_MAX);
  answers->released_ranges
      = g_array_new (FALSE, TRUE, sizeof (struct key_range));
}

/* Free the memory of ANSWERS.  */
void
answer_grants_clear (struct answer_grants *answers)
{
  g_free (answers->held_ranges);
  g_free (answers->granted_ranges);
  g_array_free (answers->released_ranges, TRUE);
}

/* Forget all keys: they were those of a server that has ended.  */
void
answer_grants_reset (struct answer_grants *answers)
{
  answers->held_count = 0;
  answers->granted_count = 0;
  g_array_set_size (answers->released_ranges, 0);
}

/* Keep RANGE, which was released, for its handover token; drop the oldest kept
   range if there are RELEASED_MAX.  */
static void
keep_token (struct answer_grants *answers, const struct key_range *range)
{
  if (answers->released_ranges->len >= RELEASED_MAX)
    g_array_remove_index (answers->released_ranges, 0);
  g_array_append_val (answers->released_ranges, *range);
}

/* Process the held and released keys in HEARTBEAT.  */
void
answer_grants_on_heartbeat (struct answer_grants *answers,
                            const struct heartbeat *heartbeat)
{
  guint i;

  g_free (answers->held_ranges);
  answers->held_count = heartbeat->held_count;
  answers->held_ranges
      = g_memdup2 (heartbeat->held_ranges,
                   heartbeat->held_count * sizeof *answers->held_ranges);
  for (i = 0; i < heartbeat->released_count; i++)
    keep_token (answers, &heartbeat->released_ranges[i]);
}

/* Record the keys that ANSWER grants.  */
void
answer_grants_on_answered (struct answer_grants *answers,
                           const struct heartbeat_answer *answer)
{
  answers->granted_count = answer->range_count;
  memcpy (answers->granted_ranges, answer->ranges,
          answer->range_count * sizeof *answers->granted_ranges);
}

/* Record that the server denied at NOW to hold a key that it was granted.  It
   may not have read the grant yet.  */
void
answer_grants_on_denied (struct answer_grants *answers, gint64 now)
{
  answers->denied_until = now + DENIED_USEC;
}

/* Return whether one of COUNT RANGES contains a key from FIRST to LAST.  */
static gboolean
overlaps (const struct key_range *ranges, guint32 count, guint32 first,
          guint32 last)
{
  guint i;

  for (i = 0; i < count; i++)
    if (ranges[i].first <= last && ranges[i].last >= first)
      return TRUE;
  return FALSE;
}

/* Return whether the last answer grants KEY and requests may be sent at
   NOW.  */
gboolean
answer_grants_cover_key (const struct answer_grants *answers, guint32 key,
                         gint64 now)
{
  return now >= answers->denied_until
         && overlaps (answers->granted_ranges, answers->granted_count, key,
                      key);
}

/* Return whether the server holds any key of SHARD by its last heartbeat, or
   may hold one by the last answer.  */
gboolean
answer_grants_hold (const struct answer_grants *answers,
                    const struct shard *shard)
{
  return overlaps (answers->held_ranges, answers->held_count, shard->first,
                   shard->last)
         || overlaps (answers->granted_ranges, answers->granted_count,
                      shard->first, shard->last);
}

/* Return whether the server holds all of SHARD by its last heartbeat.  */
gboolean
answer_grants_include (const struct answer_grants *answers,
                       const struct shard *shard)
{
  guint i;

  for (i = 0; i < answers->held_count; i++)
    if (answers->held_ranges[i].first <= shard->first
        && answers->held_ranges[i].last >= shard->last)
      return TRUE;
  return FALSE;
}

/* Return the newest handover token for SHARD, or an empty string.  */
const char *
answer_grants_token (const struct answer_grants *answers,
                     const struct shard *shard)
{
  guint i;

  for (i = answers->released_ranges->len; i > 0; i--)
    {
      const struct key_range *range
          = &g_array_index (answers->released_ranges, struct key_range, i - 1);
      if (range->first <= shard->first && range->last >= shard->last)
        return range->handover_token;
    }
  return "";
}
