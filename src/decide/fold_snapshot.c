#include "decide/fold.h"

/* Apply a chunk of a snapshot.  A snapshot is complete once all its chunks
   came in order.  A repetition of the last chunk is ignored; any other chunk
   out of order starts anew.  */
void
fold_snapshot (struct view *view, guint64 writer,
               const struct record_snapshot *body)
{
  struct view_part *part = &view->part;
  gboolean same_snapshot
      = part->writer == writer && part->offset == body->offset;

  if (same_snapshot && body->chunk + 1 == part->next)
    return;
  if (!same_snapshot || body->chunk != part->next)
    {
      part->writer = body->chunk == 0 ? writer : 0;
      part->offset = body->chunk == 0 ? body->offset : 0;
      part->next = 0;
    }
  if (part->writer == 0)
    return;
  part->next++;
  if (part->next < body->chunks)
    return;
  view->snapshot = MAX (view->snapshot, body->offset);
  *part = (struct view_part){ 0, 0, 0 };
}
