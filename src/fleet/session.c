#include "fleet/session.h"

/* A read that began at BEGUN showed that all records are folded.  */
void
session_confirm (struct session *session, gint64 begun)
{
  session->confirmed_at = MAX (session->confirmed_at, begun);
}

/* How long the session lasts yet at NOW, in microseconds; 0 once it is over.
 */
gint64
session_remaining_usec (const struct session *session, gint64 now)
{
  if (session->confirmed_at == 0)
    return 0;
  return MAX (0, session->confirmed_at + SESSION_USEC - now);
}

/* Microseconds since the read began, or -1 if there was none.  */
gint64
session_age_usec (const struct session *session, gint64 now)
{
  return session->confirmed_at == 0 ? -1
                                    : MAX (0, now - session->confirmed_at);
}
