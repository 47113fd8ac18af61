#include "decide/server_load.h"

#define REPORT_LIFETIME_USEC                                                  \
  ((gint64)2000000)            /* a report counts for so long */
#define TRUST_GAIN_PERCENT 10u /* percent won by a sign for it */

/* Set up a server that has not reported.  */
void
server_load_init (struct server_load *load)
{
  load->external_slots = 0;
  load->expires_at = 0;
  load->trust_percent = SERVER_LOAD_TRUST_MAX;
}

/* The server reported BUSY slots at MEASURED; at most GIVEN were in use
   through the gate.  */
void
server_load_on_report (struct server_load *load, guint32 busy, guint32 given,
                       gint64 measured)
{
  load->external_slots = busy > given ? busy - given : 0;
  load->expires_at = measured + REPORT_LIFETIME_USEC;
  if (load->external_slots == 0)
    load->trust_percent = MIN (load->trust_percent + TRUST_GAIN_PERCENT,
                               SERVER_LOAD_TRUST_MAX);
}

/* A request ran to its end.  That speaks against a report that nothing of
   SLOTS was left for it.  */
void
server_load_on_done (struct server_load *load, guint32 slots)
{
  if (load->external_slots >= slots)
    load->trust_percent /= 2;
}

/* The server refused a request for want of slots: it is loaded.  */
void
server_load_on_shed (struct server_load *load)
{
  load->trust_percent
      = MIN (load->trust_percent + TRUST_GAIN_PERCENT, SERVER_LOAD_TRUST_MAX);
}

/* How many slots to hold back at NOW.  */
guint32
server_load_withheld (const struct server_load *load, gint64 now)
{
  gint64 left = CLAMP (load->expires_at - now, 0, REPORT_LIFETIME_USEC);

  return (guint32)(load->external_slots * left * load->trust_percent
                   / (REPORT_LIFETIME_USEC * SERVER_LOAD_TRUST_MAX));
}
