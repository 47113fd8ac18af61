#include "serve/service_prospect.h"

/* Set up PROSPECT for a service without servers.  */
void
service_prospect_init (struct service_prospect *prospect)
{
  prospect->server_count = 0;
  prospect->earliest_usec = G_MAXINT64;
}

/* Count a server that has a slot after WAIT_USEC at the earliest.  */
void
service_prospect_add_wait (struct service_prospect *prospect, gint64 wait_usec)
{
  prospect->server_count++;
  prospect->earliest_usec = MIN (prospect->earliest_usec, wait_usec);
}

/* Return when SERVER may have a slot, from now.  The backlog that it reported
   has run off by the age of the report.  Attempts that fail take less than a
   run, so that the backlog may run off sooner by their share.  */
static gint64
wait_usec (const struct server_prospect *server)
{
  const struct load_report *load = server->load;
  gint64 ahead = server->waiting_first ? load->waiting : 0;
  gint64 succeeded_permille = 1000 - MIN (load->failed_permille, 1000);

  if (server->age_usec < 0 || load->slots == 0 || load->running < load->slots)
    return 0;
  return MAX (0, load->mean_run_usec * succeeded_permille / 1000 * (ahead + 1)
                         / load->slots
                     - server->age_usec);
}

/* Count SERVER.  */
void
service_prospect_add (struct service_prospect *prospect,
                      const struct server_prospect *server)
{
  service_prospect_add_wait (prospect, wait_usec (server));
}

/* Return whether no server can start a request that has LEFT_USEC left.  A
   service without known servers may have some.  */
gboolean
service_prospect_is_hopeless (const struct service_prospect *prospect,
                              gint64 left_usec)
{
  return prospect->server_count > 0 && prospect->earliest_usec >= left_usec;
}
