#include "fleet/freshness.h"

/* Record that a read by the process SOURCE, which began at STARTED_AT, showed
   nothing newer than this node's copy.  */
void
freshness_confirm (struct freshness *freshness, gint64 started_at,
                   guint64 source)
{
  if (started_at <= freshness->confirmed_at)
    return;
  freshness->confirmed_at = started_at;
  freshness->source = source;
}

/* Return the microseconds since the confirming read began, or -1 if there was
   none.  */
gint64
freshness_age_usec (const struct freshness *freshness, gint64 now)
{
  return freshness->confirmed_at == 0 ? -1
                                      : MAX (0, now - freshness->confirmed_at);
}
