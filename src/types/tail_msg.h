#ifndef BAMBOOTALLY_TAIL_MSG_H
#define BAMBOOTALLY_TAIL_MSG_H

#include <glib.h>

/* How a node reads the last records from another one.  */

#define TAIL_BYTES_MAX 524288u /* bytes of records in one reply */

/* Ask for records from OFFSET on.  */
struct tail_call
{
  guint64 offset;
};

/* The records, framed as on the log.  */
struct tail_reply
{
  guint64 next_offset; /* offset after the last record that the sender has */
  gint64 age_usec;     /* microseconds since it was at the log's tail */
  guint32 length;      /* bytes that follow */
  guint8 *bytes;       /* the records; allocated by g_malloc */
};

#endif
