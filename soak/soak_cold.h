#ifndef SOAK_COLD_H
#define SOAK_COLD_H

#include "soak/soak_checker.h"

/* The warm-up of a simulated backend server, and the check that the server
   gets no more requests while it is cold than it takes.  */

#define SOAK_COLD_START_S 3 /* a server is cold for this long */
#define SOAK_COLD_PER_S 10  /* requests a second that it takes then */

struct soak_cold
{
  gint64 cold_until;    /* the server is cold until then, monotonic usec */
  gboolean is_telling;  /* a heartbeat has said so since it became cold */
  gint64 told_at;       /* when such a heartbeat was answered, monotonic usec;
                           0: none was */
  gint64 excused_until; /* arrivals until then are not counted, monotonic
                           usec */
  GArray *arrivals;     /* gint64, times of the requests that are counted */
};

void soak_cold_init (struct soak_cold *cold);
void soak_cold_clear (struct soak_cold *cold);
void soak_cold_begin (struct soak_cold *cold, gint64 now);
void soak_cold_excuse (struct soak_cold *cold, gint64 until);
gint64 soak_cold_tell_msec (struct soak_cold *cold, gint64 now);
void soak_cold_on_answered (struct soak_cold *cold, gint64 now);
void soak_cold_on_arrival (struct soak_cold *cold,
                           struct soak_checker *checker, const char *server,
                           gint64 now);

#endif
