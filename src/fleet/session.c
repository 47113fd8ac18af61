#include "fleet/session.h"

/* Return how long the session by FLEET, which is how recent the copy of the
   fleet's topic is, still lasts at NOW in microseconds; 0 if it is over.  */
gint64
session_remaining_usec (const struct freshness *fleet, gint64 now)
{
  gint64 age_usec = freshness_age_usec (fleet, now);

  return age_usec < 0 ? 0 : MAX (0, SESSION_USEC - age_usec);
}
