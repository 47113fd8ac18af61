#include "decide/apply.h"

/* Follow the chunks of snapshots.  A snapshot is whole once its chunks have
   come in order; a repeat of the chunk before is passed over, and anything
   else begins anew.  */
void
apply_snapshot (struct view *view, guint64 writer,
               const struct record_snapshot *body)
{
  struct view_part *part = &view->part;
  gboolean same = part->writer == writer && part->offset == body->offset;

  if (same && body->chunk + 1 == part->next)
    return;
  if (!same || body->chunk != part->next)
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
