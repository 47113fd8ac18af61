#include "fleet/session.h"

/* Extend SESSION by a read of the store that began at STARTED_AT and showed
   all records as applied.  */
void
session_confirm (struct session *session, gint64 started_at)
{
  session->confirmed_at = MAX (session->confirmed_at, started_at);
}

/* Return how long the session still lasts at NOW in microseconds; 0 if it is
   over.  */
gint64
session_remaining_usec (const struct session *session, gint64 now)
{
  if (session->confirmed_at == 0)
    return 0;
  return MAX (0, session->confirmed_at + SESSION_USEC - now);
}

/* Return the microseconds since the confirming read began, or -1 if there was
   none.  */
gint64
session_age_usec (const struct session *session, gint64 now)
{
  return session->confirmed_at == 0 ? -1
                                    : MAX (0, now - session->confirmed_at);
}
