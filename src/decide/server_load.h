#ifndef BAMBOOTALLY_SERVER_LOAD_H
#define BAMBOOTALLY_SERVER_LOAD_H

#include <glib.h>

/* What the backend server reports of its load.  A report counts less the
   older it is, and less when it contradicts what the gate sees: a server that
   says it is full and still runs what it is given.  */

#define SERVER_LOAD_TRUST_MAX 100u /* percent */

struct server_load
{
  guint32
      foreign;   /* slots in use, by its report, that the gate did not give */
  gint64 until;  /* the report counts until then, monotonic usec */
  guint32 trust; /* percent */
};

void server_load_init (struct server_load *load);
void server_load_on_report (struct server_load *load, guint32 busy,
                            guint32 given, gint64 measured);
void server_load_on_done (struct server_load *load, guint32 slots);
void server_load_on_shed (struct server_load *load);
guint32 server_load_held (const struct server_load *load, gint64 now);

#endif
