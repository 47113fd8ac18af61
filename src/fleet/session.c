#include "fleet/session.h"

/* A read that began at BEGUN showed that all records are folded.  */
void
session_confirm (struct session *session, gint64 begun)
{
  session->confirmed = MAX (session->confirmed, begun);
}

/* How long the session lasts yet at NOW, in microseconds; 0 once it is over.
 */
gint64
session_left (const struct session *session, gint64 now)
{
  if (session->confirmed == 0)
    return 0;
  return MAX (0, session->confirmed + SESSION_USEC - now);
}

/* Microseconds since the read began, or -1 if there was none.  */
gint64
session_age (const struct session *session, gint64 now)
{
  return session->confirmed == 0 ? -1 : MAX (0, now - session->confirmed);
}
