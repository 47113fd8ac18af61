#ifndef BAMBOOTALLY_SERVER_LOAD_H
#define BAMBOOTALLY_SERVER_LOAD_H

#include <glib.h>

/* Load that the backend server reports.  A report loses weight as it ages, and
   as it contradicts what this node sees: a server that reports that it is full
   and still completes requests.

   A server may also report how long work takes on its machine now, in percent
   of the usual.  Run times are moving averages, which contain the mean of that
   figure over the same runs.  What they do not contain is its deviation from
   that mean, which is kept here.  */

#define SERVER_LOAD_TRUST_MAX 100u /* percent */

struct server_load
{
  guint32 external_slots; /* slots in use, by the report, for requests from
                             elsewhere */
  gint64 expires_at;      /* the report is used until then, monotonic usec */
  guint32 trust_percent;  /* weight of the reports in percent */
  gint64 slow_permille;   /* how long work takes now in thousandths of the
                             usual, smoothed; 0: the server does not say */
  gint64 slow_mean_permille; /* its mean over recent reports */
  guint32 slow_report_count; /* reports in the mean, at most its window */
  gint64 slow_reported_at;   /* last report of it, monotonic usec */
};

void server_load_init (struct server_load *load);
void server_load_on_report (struct server_load *load, guint32 busy,
                            guint32 given, gint64 measured_at);
void server_load_on_done (struct server_load *load, guint32 slots);
void server_load_on_shed (struct server_load *load);
void server_load_on_slowdown (struct server_load *load, guint32 percent,
                              gint64 now);
guint32 server_load_slowdown (const struct server_load *load, gint64 now);
guint32 server_load_withheld (const struct server_load *load, gint64 now);

#endif
