#ifndef BAMBOOTALLY_SERVER_LOAD_H
#define BAMBOOTALLY_SERVER_LOAD_H

#include <glib.h>

/* What the backend server reports of its load.  A report counts less the
   older it is, and less when it contradicts what the gate sees: a server that
   says it is full and still runs what it is given.  */

#define SERVER_LOAD_TRUST_MAX 100u /* percent */

struct server_load
{
  guint32 external_slots; /* slots in use, by its report, that the gate did not
                             give */
  gint64 expires_at;      /* the report counts until then, monotonic usec */
  guint32 trust_percent;  /* percent */
};

void server_load_init (struct server_load *load);
void server_load_on_report (struct server_load *load, guint32 busy,
                            guint32 given, gint64 measured);
void server_load_on_done (struct server_load *load, guint32 slots);
void server_load_on_shed (struct server_load *load);
guint32 server_load_withheld (const struct server_load *load, gint64 now);

#endif
