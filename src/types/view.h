#ifndef BAMBOOTALLY_VIEW_H
#define BAMBOOTALLY_VIEW_H

#include "types/config.h"
#include "types/table.h"
#include "types/view_config_id.h"
#include "types/view_node.h"
#include "types/snapshot_progress.h"
#include "types/view_service.h"

/* The state that results from applying all records of the log below an
   offset.  Two nodes that have applied the same records hold equal views.  */

#define VIEW_REMOVED_MAX 4096u /* removals that are remembered */

struct view
{
  guint64 applied_offset; /* all records below this offset are applied */
  gboolean has_config;    /* a configuration is in force */
  struct config config;   /* the configuration in force */
  char *config_text;      /* text of the configuration */
  char config_author[NAME_SIZE]; /* operator who published the configuration */
  guint64 config_offset;         /* offset of the configuration's record */
  /* ring buffer of the latest records */
  struct view_config_id config_history[CONFIG_HISTORY_SIZE];
  guint32 config_history_next; /* index in config_history to write next */
  struct table nodes;          /* struct view_node */
  GHashTable *handle_by_incarnation; /* handle bits by incarnation */
  GPtrArray *services;               /* struct view_service */
  guint64 removed[VIEW_REMOVED_MAX]; /* ring buffer of the latest removals */
  guint32 removed_next;              /* index in removed to write next */
  guint64 snapshot_offset;           /* offset of the last complete snapshot */
  struct snapshot_progress partial_snapshot; /* snapshot being read */
  guint64 unsupported_offset; /* offset of the first record of a later version,
                                 or 0; the view is incomplete from there on */
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
