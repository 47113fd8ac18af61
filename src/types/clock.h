#ifndef BAMBOOTALLY_CLOCK_H
#define BAMBOOTALLY_CLOCK_H

#include <glib.h>

/* The only clock of the process.  It must run on while the host is suspended:
   with a clock that stops, a node would still believe in its lease after all
   others have seen it expire.  */

gint64 clock_usec (void);

#endif
