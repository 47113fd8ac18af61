#ifndef BAMBOOTALLY_SNAPSHOT_WRITE_H
#define BAMBOOTALLY_SNAPSHOT_WRITE_H

#include "types/action.h"
#include "types/event.h"
#include "types/snapshot_progress.h"

struct core;

/* Writes snapshots of the view to the log, before the records that they
   replace are no longer retained.  The live node that ranks first starts at
   once; each other node waits for its turn, and longer while it reads chunks
   of another node.  */

struct snapshot_writer
{
  GByteArray *bytes;       /* snapshot being written, NULL for none */
  guint64 snapshot_offset; /* offset of the snapshot being written */
  guint32 next_chunk;      /* index of the next chunk to propose */
  gboolean encode_pending; /* the edge was asked to encode the view and has not
                              answered */
  gboolean is_due;         /* a snapshot is due */
  guint32 rank;            /* number of live nodes that rank before this one */
  gint64 turn_at; /* when this node may start, monotonic microseconds */
  guint64 last_snapshot_offset; /* offset of the latest complete snapshot */
  gint64 expires_at; /* when the next snapshot is due at the latest, monotonic
                        microseconds */
  /* latest progress of another writer's snapshot */
  struct snapshot_progress observed;
};

void snapshot_write_clear (struct snapshot_writer *writer);
void snapshot_write_step (struct core *core, gint64 now, struct actions *out);
void snapshot_write_bytes (struct core *core,
                           const struct event_snapshot_encoded *event);

#endif
