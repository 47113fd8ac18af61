#include "types/heartbeat.h"

#include <string.h>

/* Free what HEARTBEAT owns.  */
void
heartbeat_clear (struct heartbeat *heartbeat)
{
  g_free (heartbeat->held_ranges);
  g_free (heartbeat->released_ranges);
  memset (heartbeat, 0, sizeof *heartbeat);
}
