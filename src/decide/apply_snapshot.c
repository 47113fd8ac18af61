#include "decide/apply.h"

/* Apply a chunk of a snapshot.  A snapshot is complete once all its chunks
   came in order.  A repetition of the last chunk is ignored; any other chunk
   out of order starts anew.  */
void
apply_snapshot (struct view *view, guint64 writer,
                const struct record_snapshot *body)
{
  struct snapshot_progress *progress = &view->partial_snapshot;
  gboolean same_snapshot = progress->writer == writer
                           && progress->offset == body->snapshot_offset;

  if (same_snapshot && body->chunk_index + 1 == progress->next_chunk)
    return;
  if (!same_snapshot || body->chunk_index != progress->next_chunk)
    {
      progress->writer = body->chunk_index == 0 ? writer : 0;
      progress->offset = body->chunk_index == 0 ? body->snapshot_offset : 0;
      progress->next_chunk = 0;
    }
  if (progress->writer == 0)
    return;
  progress->next_chunk++;
  if (progress->next_chunk < body->chunk_count)
    return;
  view->snapshot_offset = MAX (view->snapshot_offset, body->snapshot_offset);
  *progress = (struct snapshot_progress){ 0, 0, 0 };
}
