#ifndef BAMBOOTALLY_SERVER_LOAD_H
#define BAMBOOTALLY_SERVER_LOAD_H

#include <glib.h>

/* Load that the backend server reports.  A report loses weight as it ages, and
   as it contradicts what this node sees: a server that reports that it is full
   and still completes requests.  */

#define SERVER_LOAD_TRUST_MAX 100u /* percent */

struct server_load
{
  guint32 external_slots; /* slots in use, by the report, for requests from
                             elsewhere */
  gint64 expires_at;      /* the report is used until then, monotonic usec */
  guint32 trust_percent;  /* weight of the reports in percent */
};

void server_load_init (struct server_load *load);
void server_load_on_report (struct server_load *load, guint32 busy,
                            guint32 given, gint64 measured_at);
void server_load_on_done (struct server_load *load, guint32 slots);
void server_load_on_shed (struct server_load *load);
guint32 server_load_withheld (const struct server_load *load, gint64 now);

#endif
