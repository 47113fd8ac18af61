#ifndef BAMBOOTALLY_READ_ATTEMPT_H
#define BAMBOOTALLY_READ_ATTEMPT_H

#include <glib.h>

/* This node's own reads to the end of a topic.  */

struct read_attempt
{
  gint64 started_at;    /* start of the last read, 0: there was none */
  gboolean is_pending;  /* it has not been answered yet, nor given up */
  gint64 no_read_until; /* after a read that failed, no other starts before;
                           0: the last one did not fail */
};

#endif
