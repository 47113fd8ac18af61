#ifndef SOAK_LIMIT_H
#define SOAK_LIMIT_H

#include "soak/soak_checker.h"

#include <libsoup/soup.h>

/* A limit that a simulated backend server names for some time, and the check
   that the server gets no more requests than that.  */

struct soak_limit
{
  guint per_s;          /* requests a second; 0: no limit is named */
  gint64 ends_at;       /* the limit is no longer named then, monotonic usec */
  gint64 bound_since;   /* the nodes are bound by the limit from then on,
                           monotonic usec; 0: no answer has named it */
  gint64 excused_until; /* arrivals until then are not counted, monotonic
                           usec */
  GArray *arrivals;     /* gint64, times of the requests that are counted */
};

void soak_limit_init (struct soak_limit *limit);
void soak_limit_clear (struct soak_limit *limit);
void soak_limit_set (struct soak_limit *limit, guint per_s, gint64 ends_at);
void soak_limit_excuse (struct soak_limit *limit, gint64 until);
void soak_limit_on_answer (struct soak_limit *limit,
                           SoupMessageHeaders *headers, gint64 now);
void soak_limit_on_arrival (struct soak_limit *limit,
                            struct soak_checker *checker, gint64 now);

#endif
