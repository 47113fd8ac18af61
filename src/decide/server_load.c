#include "decide/server_load.h"

#define REPORT_LIFETIME_USEC                                                  \
  ((gint64)2000000) /* a report is used for so long */
#define TRUST_GAIN_PERCENT                                                    \
  10u /* percent of trust that is regained at a time */

/* Initialise LOAD for a server that has not reported.  */
void
server_load_init (struct server_load *load)
{
  load->external_slots = 0;
  load->expires_at = 0;
  load->trust_percent = SERVER_LOAD_TRUST_MAX;
}

/* Handle a report of BUSY slots, measured at MEASURED_AT.  At most GIVEN slots
   were in use by requests from this node.  */
void
server_load_on_report (struct server_load *load, guint32 busy, guint32 given,
                       gint64 measured_at)
{
  load->external_slots = busy > given ? busy - given : 0;
  load->expires_at = measured_at + REPORT_LIFETIME_USEC;
  if (load->external_slots == 0)
    load->trust_percent = MIN (load->trust_percent + TRUST_GAIN_PERCENT,
                               SERVER_LOAD_TRUST_MAX);
}

/* Handle a request that ran to completion.  If the last report said that
   all of SLOTS were in use, the request contradicts that report, and the trust
   in the reports is halved.  */
void
server_load_on_done (struct server_load *load, guint32 slots)
{
  if (load->external_slots >= slots)
    load->trust_percent /= 2;
}

/* Handle a request that the server refused for want of slots.  The refusal
   confirms that the server is loaded, so the trust in the reports rises.  */
void
server_load_on_shed (struct server_load *load)
{
  load->trust_percent
      = MIN (load->trust_percent + TRUST_GAIN_PERCENT, SERVER_LOAD_TRUST_MAX);
}

/* Return how many slots to withhold at NOW: the reported external slots,
   weighted by the age and trust of the report.  */
guint32
server_load_withheld (const struct server_load *load, gint64 now)
{
  gint64 remaining = CLAMP (load->expires_at - now, 0, REPORT_LIFETIME_USEC);

  return (guint32)(load->external_slots * remaining * load->trust_percent
                   / (REPORT_LIFETIME_USEC * SERVER_LOAD_TRUST_MAX));
}
