#ifndef BAMBOOTALLY_DEPARTURE_H
#define BAMBOOTALLY_DEPARTURE_H

#include "types/server_instance.h"

/* The last backend servers that deregistered at this process.  A server may do
   so before the process knows it, since neither its records nor a heartbeat
   have been read.  The acknowledgement is binding all the same.  */

#define DEPARTURES_MAX 4u /* servers that are remembered */

struct departure
{
  char server_id[NAME_SIZE]; /* name of the server, empty: none */
  gint64 at_msec;  /* when it deregistered, milliseconds since 1970 */
  gint64 acked_at; /* when that was acknowledged, monotonic usec */
};

struct departures
{
  struct departure items[DEPARTURES_MAX]; /* ring, in the order of arrival */
  guint32 count;                          /* departures so far */
};

void departures_add (struct departures *departures, const char *server_id,
                     gint64 at_msec, gint64 now);
gint64 departures_acked_at (const struct departures *departures,
                            const struct server_instance *instance);

#endif
