#ifndef BAMBOOTALLY_VIEW_H
#define BAMBOOTALLY_VIEW_H

#include "types/config.h"
#include "types/table.h"
#include "types/view_config_id.h"
#include "types/view_node.h"
#include "types/snapshot_progress.h"
#include "types/view_service.h"

/* What the records of the log below an offset add up to.  Two nodes at the
   same offset hold the same view.  */

#define VIEW_REMOVED_MAX 4096u /* incarnations remembered as out */

struct view
{
  guint64 applied_offset;        /* all records below this are folded */
  gboolean has_config;           /* whether a configuration is in force */
  struct config config;          /* the configuration in force */
  char *config_text;             /* its text */
  char config_author[NAME_SIZE]; /* who published it */
  guint64 config_offset;         /* where it stands */
  struct view_config_id
      config_history[CONFIG_HISTORY_SIZE]; /* last put in force */
  guint32 config_history_next;             /* place of the next one */
  struct table nodes;                      /* struct view_node */
  GHashTable *handle_by_incarnation;       /* incarnation to handle bits */
  GPtrArray *services;                     /* struct view_service */
  guint64 removed[VIEW_REMOVED_MAX]; /* last incarnations that went out */
  guint32 removed_next;              /* place of the next one */
  guint64 snapshot_offset;           /* offset of the last whole snapshot */
  struct snapshot_progress
      partial_snapshot;       /* the snapshot that is coming by */
  guint64 unsupported_offset; /* first record of a later version, or 0;
                     the view is wrong from there on */
};

void view_init (struct view *view);
void view_clear (struct view *view);
struct view_node *view_node_at (const struct view *view, struct handle h);
struct handle view_find_node (const struct view *view, guint64 incarnation);
guint64 view_incarnation (const struct view *view, struct handle h);
struct view_service *view_find_service (const struct view *view,
                                        const char *name);
struct view_service *view_add_service (struct view *view, const char *name);
struct view_slice *view_slice_at (const struct view_service *service,
                                  guint32 slice);
gboolean view_was_removed (const struct view *view, guint64 incarnation);
struct handle view_add_node (struct view *view, const struct record_join *join,
                             guint64 offset);
void view_remove_node (struct view *view, struct handle h);
void view_replace (struct view *view, struct view *fresh);
void view_remember_config (struct view *view, guint64 offset, guint64 writer,
                           guint64 serial);

#endif
