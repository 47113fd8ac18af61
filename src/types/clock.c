#include "types/clock.h"

#include "types/limits.h"

#include <time.h>

#define NSEC_PER_USEC 1000 /* nanoseconds in a microsecond */

/* Return the current time in microseconds.  The clock runs on while the host
   is suspended, and cannot be set.  All leases and deadlines are measured with
   it.  */
gint64
clock_usec (void)
{
  struct timespec now;

  clock_gettime (CLOCK_BOOTTIME, &now);
  return (gint64)now.tv_sec * USEC_PER_SEC + now.tv_nsec / NSEC_PER_USEC;
}
