#include "serve/crash_evidence.h"

#include <string.h>

/* Longest time between the loss of a request and the news that the server has
   ended.  A server that crashes at a quiet time is missed when it comes back,
   some seconds later.  */
#define NEWS_USEC ((gint64)15000000)

/* Answers that a server sent before it ended are read up to this long after
   the requests that were lost with it.  */
#define ANSWER_LAG_USEC ((gint64)500000)

/* A request that ended well here this long before a loss, or later, does not
   crash servers.  One that ended well earlier may do so by now.  */
#define SOUND_USEC ((gint64)10000000)

/* Record that a request with DIGEST was lost at NOW.  */
void
crash_evidence_add_loss (struct crash_evidence *evidence, guint64 digest,
                         gint64 now)
{
  struct crash_run *loss = &evidence->losses[evidence->next_loss];

  if (digest == 0)
    return;
  loss->digest = digest;
  loss->ended_at = now;
  evidence->next_loss = (evidence->next_loss + 1) % CRASH_LOSSES_MAX;
}

/* Record that a request with DIGEST has run to completion at NOW.  */
void
crash_evidence_add_completed (struct crash_evidence *evidence, guint64 digest,
                              gint64 now)
{
  struct crash_run *run = &evidence->completed[digest % CRASH_COMPLETED_MAX];

  run->digest = digest;
  run->ended_at = now;
}

/* Return whether a loss may belong to an end of the server that becomes known
   at NOW.  */
static gboolean
is_recent (const struct crash_run *loss, gint64 now)
{
  return loss->digest != 0 && now - loss->ended_at < NEWS_USEC;
}

/* Return whether there is a loss that may belong to an end of the server that
   becomes known at NOW.  */
gboolean
crash_evidence_is_pending (const struct crash_evidence *evidence, gint64 now)
{
  guint i;

  for (i = 0; i < CRASH_LOSSES_MAX; i++)
    if (is_recent (&evidence->losses[i], now))
      return TRUE;
  return FALSE;
}

/* Return whether the request of LOSS ended well at about that time or
   later.  */
static gboolean
is_sound (const struct crash_evidence *evidence, const struct crash_run *loss)
{
  const struct crash_run *run
      = &evidence->completed[loss->digest % CRASH_COMPLETED_MAX];

  return run->digest == loss->digest
         && run->ended_at >= loss->ended_at - SOUND_USEC;
}

/* Forget the losses of DIGEST, so that it is reported once.  */
static void
forget (struct crash_evidence *evidence, guint64 digest)
{
  guint i;

  for (i = 0; i < CRASH_LOSSES_MAX; i++)
    if (evidence->losses[i].digest == digest)
      evidence->losses[i].digest = 0;
}

/* Remove and return the next digest that may have crashed the server, whose
   end is known at NOW and which answered last at ANSWERED_AT: a server that
   answered after a loss did not end by it.  Return 0 if there is none.  */
guint64
crash_evidence_take (struct crash_evidence *evidence, gint64 answered_at,
                     gint64 now)
{
  guint i;

  for (i = 0; i < CRASH_LOSSES_MAX; i++)
    {
      struct crash_run loss = evidence->losses[i];
      if (loss.digest == 0)
        continue;
      forget (evidence, loss.digest);
      if (is_recent (&loss, now)
          && answered_at <= loss.ended_at + ANSWER_LAG_USEC
          && !is_sound (evidence, &loss))
        return loss.digest;
    }
  return 0;
}

/* Forget all losses: the server has ended in order.  */
void
crash_evidence_reset (struct crash_evidence *evidence)
{
  memset (evidence->losses, 0, sizeof evidence->losses);
}
