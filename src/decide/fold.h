#ifndef BAMBOOTALLY_FOLD_H
#define BAMBOOTALLY_FOLD_H

#include "types/action.h"
#include "types/view.h"

/* Applies log records to a view, one after another.  The result depends only
   on the view and the record, so all nodes reach the same state; log events
   tell what changed or was dropped.  */

void fold_record (struct view *view, guint64 offset,
                  const struct record *record, struct actions *out);
void fold_config (struct view *view, guint64 offset,
                  const struct record_config *body, struct actions *out);
void fold_join (struct view *view, guint64 offset,
                const struct record_join *body, struct actions *out);
void fold_leaving (struct view *view, guint64 offset,
                   const struct record_leaving *body, struct actions *out);
void fold_out (struct view *view, guint64 offset,
               const struct record_out *body, struct actions *out);
void fold_witness (struct view *view, guint64 offset,
                   const struct record_witness *body, struct actions *out);
void fold_assign (struct view *view, guint64 offset,
                  const struct record_slices *body, struct actions *out);
void fold_move (struct view *view, guint64 offset,
                const struct record_slices *body, struct actions *out);
void fold_moved (struct view *view, guint64 offset, guint64 writer,
                 const struct record_slices *body, struct actions *out);
void fold_hot (struct view *view, guint64 offset,
               const struct record_hot *body, struct actions *out);
void fold_snapshot (struct view *view, guint64 writer,
                    const struct record_snapshot *body);
struct note *fold_note (struct actions *out, enum note_id id, guint64 offset);

#endif
