#ifndef BAMBOOTALLY_SNAPSHOT_WRITE_H
#define BAMBOOTALLY_SNAPSHOT_WRITE_H

#include "types/action.h"
#include "types/event.h"
#include "types/view_part.h"

struct core;

/* Writes snapshots of the view to the log before the records that they stand
   for are no longer retained.  The live node that ranks first begins; each
   other waits for its turn, and longer while it sees chunks come by.  */

struct snapshot_writer
{
  GByteArray *bytes;     /* snapshot being written, NULL for none */
  guint64 offset;        /* its offset */
  guint32 next;          /* chunk to propose next */
  gboolean asked;        /* the edge is encoding the view */
  gboolean due;          /* a snapshot is wanted */
  guint32 rank;          /* this node's place among the live ones */
  gint64 turn_at;        /* when this node begins, monotonic usec */
  guint64 known;         /* last whole snapshot that was seen */
  gint64 expires_at;     /* when the next one is wanted at the latest */
  struct view_part part; /* chunks of others that were seen last */
};

void snapshot_write_clear (struct snapshot_writer *writer);
void snapshot_write_step (struct core *core, gint64 now, struct actions *out);
void snapshot_write_bytes (struct core *core,
                           const struct event_snapshot_bytes *event);

#endif
