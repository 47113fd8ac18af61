#ifndef BAMBOOTALLY_SERVICE_PROSPECT_H
#define BAMBOOTALLY_SERVICE_PROSPECT_H

#include "types/load_report.h"

/* When any server of a service may have a slot for a request, by the load
   reports that an entry node has.

   Load pattern: all servers of a service have full queues, and callers with
   little time left, such as those that return after a refusal, are sent to one
   server after the other, each of which refuses them.  The entry node refuses
   such a request itself, but only if the reports prove that no server can
   start it in time: a server without a report, without a known run time, or
   whose reported backlog may have run off since, may have a slot.  */

struct service_prospect
{
  guint32 server_count; /* servers of the service */
  gint64 earliest_usec; /* when the first of them may have a slot, from now */
};

/* A server as the entry node knows it.  */
struct server_prospect
{
  const struct load_report *load; /* its last load report */
  gint64 age_usec;        /* age of that report, negative: there is none */
  gboolean waiting_first; /* all that waits there goes before the request */
};

void service_prospect_init (struct service_prospect *prospect);
void service_prospect_add (struct service_prospect *prospect,
                           const struct server_prospect *server);
void service_prospect_add_wait (struct service_prospect *prospect,
                                gint64 wait_usec);
gboolean service_prospect_is_hopeless (const struct service_prospect *prospect,
                                       gint64 left_usec);

#endif
