#ifndef BAMBOOTALLY_SNAPSHOT_WRITE_H
#define BAMBOOTALLY_SNAPSHOT_WRITE_H

#include "types/action.h"
#include "types/event.h"
#include "types/view_part.h"

struct core;

/* Writes snapshots of the view to the log, before the records that they
   replace are no longer retained.  The live node that ranks first starts at
   once; each other node waits for its turn, and longer while it reads chunks
   of another node.  */

struct snapshot_writer
{
  GByteArray *bytes; /* snapshot being written, NULL for none */
  guint64 offset;    /* offset of the snapshot being written */
  guint32 next;      /* index of the next chunk to propose */
  gboolean asked;    /* waiting for the edge to encode the view */
  gboolean due;      /* a snapshot is wanted */
  guint32 rank;      /* number of live nodes that rank before this one */
  gint64 turn_at;    /* when this node may start, monotonic microseconds */
  guint64 known;     /* offset of the latest complete snapshot */
  gint64 expires_at; /* when the next snapshot is due at the latest, monotonic
                        microseconds */
  struct view_part part; /* latest progress of another writer's snapshot */
};

void snapshot_write_clear (struct snapshot_writer *writer);
void snapshot_write_step (struct core *core, gint64 now, struct actions *out);
void snapshot_write_bytes (struct core *core,
                           const struct event_snapshot_bytes *event);

#endif
