#ifndef BAMBOOTALLY_SNAPSHOT_READ_H
#define BAMBOOTALLY_SNAPSHOT_READ_H

#include "types/action.h"
#include "types/event.h"
#include "types/snapshot_progress.h"

struct core;

/* Finds a snapshot on the log where the records that the node wants next are
   no longer retained.  A snapshot stands later on the log than its offset, so
   once it is loaded the log is read again from that offset on; nothing else
   has to be kept in the meantime.  */

struct snapshot_reader
{
  gboolean collecting;    /* chunks are looked for, records are not folded */
  guint64 first_retained; /* first record retained when this began */
  struct snapshot_progress partial_snapshot; /* the snapshot that comes by */
  GByteArray *bytes;                         /* its chunks so far */
};

void snapshot_read_clear (struct snapshot_reader *reader);
void snapshot_read_begin (struct core *core, guint64 first,
                          struct actions *out);
void snapshot_read_records (struct core *core,
                            const struct event_records *event,
                            struct actions *out);
void snapshot_read_loaded (struct core *core,
                           const struct event_snapshot_decoded *event,
                           struct actions *out);

#endif
