#ifndef BAMBOOTALLY_ANSWER_GRANTS_H
#define BAMBOOTALLY_ANSWER_GRANTS_H

#include "types/heartbeat.h"
#include "types/shard.h"

/* Keys that a backend server is granted by the answers to its heartbeats, and
   what its heartbeats say of them.  */

struct answer_grants
{
  struct key_range *held_ranges;    /* held ranges, by the last heartbeat */
  guint32 held_count;               /* used entries of `held_ranges' */
  struct key_range *granted_ranges; /* granted ranges, by the last answer */
  guint32 granted_count;            /* used entries of `granted_ranges' */
  GArray *released_ranges; /* struct key_range: released ranges with unused
                              handover tokens */
  gint64 denied_until; /* the server gets no keyed requests until then, since
                          it denied holding a key */
};

void answer_grants_init (struct answer_grants *answers);
void answer_grants_clear (struct answer_grants *answers);
void answer_grants_reset (struct answer_grants *answers);
void answer_grants_on_heartbeat (struct answer_grants *answers,
                                 const struct heartbeat *heartbeat);
void answer_grants_on_answered (struct answer_grants *answers,
                                const struct heartbeat_answer *answer);
void answer_grants_on_denied (struct answer_grants *answers, gint64 now);
gboolean answer_grants_cover_key (const struct answer_grants *answers,
                                  guint32 key, gint64 now);
gboolean answer_grants_hold (const struct answer_grants *answers,
                             const struct shard *shard);
gboolean answer_grants_include (const struct answer_grants *answers,
                                const struct shard *shard);
const char *answer_grants_token (const struct answer_grants *answers,
                                 const struct shard *shard);

#endif
