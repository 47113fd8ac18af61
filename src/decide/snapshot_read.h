#ifndef BAMBOOTALLY_SNAPSHOT_READ_H
#define BAMBOOTALLY_SNAPSHOT_READ_H

#include "types/action.h"
#include "types/event.h"
#include "types/snapshot_progress.h"

struct core;

/* Finds a snapshot on the log if the next records that this node needs are no
   longer retained.  A snapshot is written to the log after the records that it
   holds.  Once one is loaded, the log is read again from the snapshot's offset
   on, so no records need to be kept meanwhile.  */

struct snapshot_reader
{
  gboolean collecting; /* chunks are being collected; records are not applied
                          meanwhile */
  guint64 first_retained; /* first offset retained when the search began */
  /* progress of the snapshot being collected */
  struct snapshot_progress partial_snapshot;
  GByteArray *bytes; /* chunks collected so far */
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
