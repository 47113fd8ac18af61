#include "decide/server_load.h"

#define COUNTS_USEC ((gint64)2000000) /* a report counts for so long */
#define TRUST_GAIN 10u                /* percent won by a sign for it */

/* Set up a server that has not reported.  */
void
server_load_init (struct server_load *load)
{
  load->foreign = 0;
  load->until = 0;
  load->trust = SERVER_LOAD_TRUST_MAX;
}

/* The server reported BUSY slots at MEASURED; at most GIVEN were in use
   through the gate.  */
void
server_load_on_report (struct server_load *load, guint32 busy, guint32 given,
                       gint64 measured)
{
  load->foreign = busy > given ? busy - given : 0;
  load->until = measured + COUNTS_USEC;
  if (load->foreign == 0)
    load->trust = MIN (load->trust + TRUST_GAIN, SERVER_LOAD_TRUST_MAX);
}

/* A request ran to its end.  That speaks against a report that nothing of
   SLOTS was left for it.  */
void
server_load_on_done (struct server_load *load, guint32 slots)
{
  if (load->foreign >= slots)
    load->trust /= 2;
}

/* The server refused a request for want of slots: it is loaded.  */
void
server_load_on_shed (struct server_load *load)
{
  load->trust = MIN (load->trust + TRUST_GAIN, SERVER_LOAD_TRUST_MAX);
}

/* How many slots to hold back at NOW.  */
guint32
server_load_held (const struct server_load *load, gint64 now)
{
  gint64 left = CLAMP (load->until - now, 0, COUNTS_USEC);

  return (guint32)(load->foreign * left * load->trust
                   / (COUNTS_USEC * SERVER_LOAD_TRUST_MAX));
}
