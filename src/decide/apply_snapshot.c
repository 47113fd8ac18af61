#include "decide/apply.h"

/* Follow the chunks of snapshots.  A snapshot is whole once its chunks have
   come in order; a repeat of the chunk before is passed over, and anything
   else begins anew.  */
void
apply_snapshot (struct view *view, guint64 writer,
                const struct record_snapshot *body)
{
  struct snapshot_progress *part = &view->partial_snapshot;
  gboolean same
      = part->writer == writer && part->offset == body->snapshot_offset;

  if (same && body->chunk_index + 1 == part->next_chunk)
    return;
  if (!same || body->chunk_index != part->next_chunk)
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
