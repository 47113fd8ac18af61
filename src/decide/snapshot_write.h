#ifndef BAMBOOTALLY_SNAPSHOT_WRITE_H
#define BAMBOOTALLY_SNAPSHOT_WRITE_H

#include "types/action.h"
#include "types/event.h"
#include "types/snapshot_progress.h"

struct core;

/* Writes snapshots of the view to the log before the records that they stand
   for are no longer retained.  The live node that ranks first begins; each
   other waits for its turn, and longer while it sees chunks come by.  */

struct snapshot_writer
{
  GByteArray *bytes;            /* snapshot being written, NULL for none */
  guint64 snapshot_offset;      /* its offset */
  guint32 next_chunk;           /* chunk to propose next */
  gboolean encode_pending;      /* the edge is encoding the view */
  gboolean is_due;              /* a snapshot is wanted */
  guint32 rank;                 /* this node's place among the live ones */
  gint64 turn_at;               /* when this node begins, monotonic usec */
  guint64 last_snapshot_offset; /* last whole snapshot that was seen */
  gint64 expires_at;            /* when the next one is wanted at the latest */
  struct snapshot_progress observed; /* chunks of others that were seen last */
};

void snapshot_write_clear (struct snapshot_writer *writer);
void snapshot_write_step (struct core *core, gint64 now, struct actions *out);
void snapshot_write_bytes (struct core *core,
                           const struct event_snapshot_encoded *event);

#endif
