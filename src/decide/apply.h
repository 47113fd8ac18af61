#ifndef BAMBOOTALLY_APPLY_H
#define BAMBOOTALLY_APPLY_H

#include "types/action.h"
#include "types/view.h"

/* Folds one record after another into a view.  A pure function of the view
   and the record; notes say what changed or was dropped.  */

void apply_record (struct view *view, guint64 offset,
                   const struct record *record, struct actions *out);
void apply_config (struct view *view, guint64 offset,
                   const struct record_config *body, struct actions *out);
void apply_join (struct view *view, guint64 offset,
                 const struct record_join *body, struct actions *out);
void apply_leaving (struct view *view, guint64 offset,
                    const struct record_leaving *body, struct actions *out);
void apply_removed (struct view *view, guint64 offset,
                    const struct record_removed *body, struct actions *out);
void apply_witness (struct view *view, guint64 offset,
                    const struct record_witness_set *body,
                    struct actions *out);
void apply_assign (struct view *view, guint64 offset,
                   const struct record_slices *body, struct actions *out);
void apply_move (struct view *view, guint64 offset,
                 const struct record_slices *body, struct actions *out);
void apply_moved (struct view *view, guint64 offset, guint64 writer,
                  const struct record_slices *body, struct actions *out);
void apply_hot (struct view *view, guint64 offset,
                const struct record_hot_key *body, struct actions *out);
void apply_snapshot (struct view *view, guint64 writer,
                     const struct record_snapshot *body);
struct log_event *apply_log (struct actions *out, enum log_event_id id,
                             guint64 offset);

#endif
