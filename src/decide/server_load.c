#include "decide/server_load.h"

#define REPORT_LIFETIME_USEC                                                  \
  ((gint64)2000000) /* a report is used for so long */
#define TRUST_GAIN_PERCENT                                                    \
  10u /* percent of trust that is regained at a time */

/* Time constant by which the reported slowdown is smoothed.  It changes many
   times a second; a machine that is slow stays so for about 0.4 s.  */
#define SLOW_SMOOTHING_USEC ((gint64)100000)

/* A report of the slowdown loses its weight linearly in this time.  */
#define SLOW_LIFETIME_USEC ((gint64)1000000)

/* Window of the mean slowdown in reports: that of the mean run times, which
   also count one run a response.  */
#define SLOW_MEAN_WINDOW 32u

/* Bounds of reported slowdowns, in percent.  A figure outside is no measure of
   a machine that still responds.  */
#define SLOW_PERCENT_MIN 10u
#define SLOW_PERCENT_MAX 1000u

/* Bounds of the factor that run times are multiplied by, in thousandths.  */
#define SLOWDOWN_MIN 250
#define SLOWDOWN_MAX 4000
#define SLOWDOWN_NONE 1000

/* Initialise LOAD for a server that has not reported.  */
void
server_load_init (struct server_load *load)
{
  load->external_slots = 0;
  load->expires_at = 0;
  load->trust_percent = SERVER_LOAD_TRUST_MAX;
  load->slow_permille = 0;
  load->slow_mean_permille = 0;
  load->slow_report_count = 0;
  load->slow_reported_at = 0;
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

/* Handle a report at NOW that work takes PERCENT of the usual time; 0 if the
   server does not say.  */
void
server_load_on_slowdown (struct server_load *load, guint32 percent, gint64 now)
{
  gint64 permille
      = (gint64)CLAMP (percent, SLOW_PERCENT_MIN, SLOW_PERCENT_MAX) * 10;
  gint64 elapsed = MAX (0, now - load->slow_reported_at);

  if (percent == 0)
    return;
  if (load->slow_report_count == 0)
    load->slow_permille = permille;
  load->slow_permille += (permille - load->slow_permille) * elapsed
                         / (elapsed + SLOW_SMOOTHING_USEC);
  if (load->slow_report_count < SLOW_MEAN_WINDOW)
    load->slow_report_count++;
  load->slow_mean_permille += (permille - load->slow_mean_permille)
                              / (gint64)load->slow_report_count;
  load->slow_reported_at = now;
}

/* Return the factor, in thousandths, by which a run that starts at NOW is
   expected to take longer than the mean of the latest runs.  */
guint32
server_load_slowdown (const struct server_load *load, gint64 now)
{
  gint64 remaining = CLAMP (load->slow_reported_at + SLOW_LIFETIME_USEC - now,
                            0, SLOW_LIFETIME_USEC);
  gint64 factor;

  if (load->slow_mean_permille <= 0)
    return SLOWDOWN_NONE;
  factor
      = CLAMP (load->slow_permille * SLOWDOWN_NONE / load->slow_mean_permille,
               SLOWDOWN_MIN, SLOWDOWN_MAX);
  return (guint32)(SLOWDOWN_NONE
                   + (factor - SLOWDOWN_NONE) * remaining
                         / SLOW_LIFETIME_USEC);
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
