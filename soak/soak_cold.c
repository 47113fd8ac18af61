#include "soak/soak_cold.h"

#include "types/limits.h"

#define WINDOW_USEC ((gint64)1000000) /* window of the bound */

/* Requests that a cold server takes in a window: one and a half times its
   rate, and 8.  */
#define ALLOWED (SOAK_COLD_PER_S * 3u / 2u + 8u)

/* Initialize the state of a server that is warm.  */
void
soak_cold_init (struct soak_cold *cold)
{
  cold->arrivals = g_array_new (FALSE, FALSE, sizeof (gint64));
}

/* Release what COLD holds.  */
void
soak_cold_clear (struct soak_cold *cold)
{
  g_array_unref (cold->arrivals);
}

/* Make the server cold at NOW.  */
void
soak_cold_begin (struct soak_cold *cold, gint64 now)
{
  cold->cold_until = now + (gint64)SOAK_COLD_START_S * USEC_PER_SEC;
  cold->is_telling = FALSE;
  cold->told_at = 0;
  g_array_set_size (cold->arrivals, 0);
}

/* Do not count requests until UNTIL, when the connection to the server brings
   no more that were held up.  */
void
soak_cold_excuse (struct soak_cold *cold, gint64 until)
{
  cold->excused_until = MAX (cold->excused_until, until);
}

/* Return how long the server stays cold, in milliseconds, for a heartbeat that
   is sent at NOW.  */
gint64
soak_cold_tell_msec (struct soak_cold *cold, gint64 now)
{
  cold->is_telling = now < cold->cold_until;
  return cold->is_telling ? (cold->cold_until - now) / USEC_PER_MSEC : 0;
}

/* Process the answer to a heartbeat, which arrived at NOW: the node knows what
   the heartbeat said.  */
void
soak_cold_on_answered (struct soak_cold *cold, gint64 now)
{
  if (cold->is_telling && cold->told_at == 0)
    cold->told_at = now;
}

/* Count a request that reached SERVER at NOW, and report to CHECKER if there
   were more than the server takes while it is cold.  */
void
soak_cold_on_arrival (struct soak_cold *cold, struct soak_checker *checker,
                      const char *server, gint64 now)
{
  char detail[96];

  if (now >= cold->cold_until || cold->told_at == 0
      || now < cold->excused_until)
    return;
  while (cold->arrivals->len > 0
         && g_array_index (cold->arrivals, gint64, 0) <= now - WINDOW_USEC)
    g_array_remove_index (cold->arrivals, 0);
  g_array_append_val (cold->arrivals, now);
  if (cold->arrivals->len <= ALLOWED)
    return;
  g_snprintf (detail, sizeof detail, "%s, %u requests in 1 s at %u a second",
              server, cold->arrivals->len, (guint)SOAK_COLD_PER_S);
  soak_checker_violation (checker, "a cold server gets its rate", detail);
  g_array_set_size (cold->arrivals, 0);
}
