#include "decide/apply.h"

/* Apply a chunk of a snapshot.  A snapshot is complete once all its chunks
   came in order.  A repetition of the last chunk is ignored; any other chunk
   out of order starts anew.  */
void
apply_snapshot (struct view *view, guint64 writer,
                const struct record_snapshot *body)
{
  struct snapshot_progress *part = &view->partial_snapshot;
  gboolean same_snapshot
      = part->writer == writer && part->offset == body->snapshot_offset;

  if (same_snapshot && body->chunk_index + 1 == part->next_chunk)
    return;
  if (!same_snapshot || body->chunk_index != part->next_chunk)
    {
      part->writer = body->chunk_index == 0 ? writer : 0;
      part->offset = body->chunk_index == 0 ? body->snapshot_offset : 0;
      part->next_chunk = 0;
    }
  if (part->writer == 0)
    return;
  part->next_chunk++;
  if (part->next_chunk < body->chunk_count)
    return;
  view->snapshot_offset = MAX (view->snapshot_offset, body->snapshot_offset);
  *part = (struct snapshot_progress){ 0, 0, 0 };
}
