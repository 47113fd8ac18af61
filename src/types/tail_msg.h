#ifndef BAMBOOTALLY_TAIL_MSG_H
#define BAMBOOTALLY_TAIL_MSG_H

#include <glib.h>

/* Messages by which a node reads the latest records from another node.  */

#define TAIL_BYTES_MAX 524288u /* bytes of records in one reply */

/* Read records from an offset on.  */
struct tail_call
{
  guint64 offset;
};

/* The records, framed as in the log.  */
struct tail_reply
{
  guint64 next_offset; /* offset after the sender's last record */
  gint64 age_usec; /* microseconds since the sender last read to the end of the
                      log */
  guint32 length;  /* length of bytes */
  guint8 *bytes;   /* framed records, allocated by g_malloc */
};

#endif
