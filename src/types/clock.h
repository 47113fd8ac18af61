#ifndef BAMBOOTALLY_CLOCK_H
#define BAMBOOTALLY_CLOCK_H

#include <glib.h>

/* The one clock of the process.  A clock that stands still while the host is
   suspended would keep a lease alive that everyone else holds for lapsed.  */

gint64 clock_usec (void);

#endif
