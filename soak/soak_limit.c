#include "soak/soak_limit.h"

#include "types/limits.h"

#define BIND_USEC ((gint64)3000000)   /* from the naming until it binds */
#define WINDOW_USEC ((gint64)4000000) /* window of the bound */

/* Requests that a limit of PER_S allows in a window: one and a half times what
   it says, and 5.  */
#define ALLOWED(per_s) ((per_s)*6 + 5)

/* Initialize a limit that is not named.  */
void
soak_limit_init (struct soak_limit *limit)
{
  limit->arrivals = g_array_new (FALSE, FALSE, sizeof (gint64));
}

/* Release what LIMIT holds.  */
void
soak_limit_clear (struct soak_limit *limit)
{
  g_array_unref (limit->arrivals);
}

/* Name a limit of PER_S requests a second until ENDS_AT; 0 names none.  */
void
soak_limit_set (struct soak_limit *limit, guint per_s, gint64 ends_at)
{
  limit->per_s = per_s;
  limit->ends_at = ends_at;
  limit->bound_since = 0;
  g_array_set_size (limit->arrivals, 0);
}

/* Do not count requests until UNTIL, when a fault of the server's node or of
   the connection to it is over.  */
void
soak_limit_excuse (struct soak_limit *limit, gint64 until)
{
  limit->excused_until = MAX (limit->excused_until, until);
}

/* Name the limit in an answer with HEADERS that is sent at NOW.  */
void
soak_limit_on_answer (struct soak_limit *limit, SoupMessageHeaders *headers,
                      gint64 now)
{
  char text[16];

  if (limit->per_s == 0 || now >= limit->ends_at)
    return;
  g_snprintf (text, sizeof text, "%u.0", limit->per_s);
  soup_message_headers_append (headers, "Server-Limit", text);
  if (limit->bound_since == 0)
    limit->bound_since = now + BIND_USEC;
}

/* Count a request that reached the server at NOW, and report to CHECKER if
   there were more than the limit allows.  */
void
soak_limit_on_arrival (struct soak_limit *limit, struct soak_checker *checker,
                       gint64 now)
{
  char detail[64];

  if (limit->per_s == 0 || now >= limit->ends_at || limit->bound_since == 0
      || now < MAX (limit->bound_since, limit->excused_until + BIND_USEC))
    return;
  while (limit->arrivals->len > 0
         && g_array_index (limit->arrivals, gint64, 0) < now - WINDOW_USEC)
    g_array_remove_index (limit->arrivals, 0);
  g_array_append_val (limit->arrivals, now);
  if (limit->arrivals->len <= ALLOWED (limit->per_s))
    return;
  g_snprintf (detail, sizeof detail, "%u requests in 4 s at %u a second",
              limit->arrivals->len, limit->per_s);
  soak_checker_violation (checker, "a server's limit is kept", detail);
  g_array_set_size (limit->arrivals, 0);
}
