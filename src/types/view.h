#ifndef BAMBOOTALLY_VIEW_H
#define BAMBOOTALLY_VIEW_H

#include "types/config.h"
#include "types/table.h"
#include "types/view_config_id.h"
#include "types/view_node.h"
#include "types/view_part.h"
#include "types/view_service.h"

/* What the records of the log below an offset add up to.  Two nodes at the
   same offset hold the same view.  */

#define VIEW_OUT_REMEMBERED 4096u /* incarnations remembered as out */

struct view
{
  guint64 next;                  /* all records below this are folded */
  gboolean has_config;           /* whether a configuration is in force */
  struct config config;          /* the configuration in force */
  char *config_text;             /* its text */
  char config_author[NAME_SIZE]; /* who published it */
  guint64 config_offset;         /* where it stands */
  struct view_config_id config_past[CONFIG_PAST]; /* last put in force */
  guint32 config_past_next;                       /* place of the next one */
  struct table nodes;                             /* struct view_node */
  GHashTable *by_incarnation;       /* incarnation to handle bits */
  GPtrArray *services;              /* struct view_service */
  guint64 out[VIEW_OUT_REMEMBERED]; /* last incarnations that went out */
  guint32 out_next;                 /* place of the next one */
  guint64 snapshot;                 /* offset of the last whole snapshot */
  struct view_part part;            /* the snapshot that is coming by */
  guint64 unread;                   /* first record of a later version, or 0;
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
gboolean view_was_out (const struct view *view, guint64 incarnation);
struct handle view_add_node (struct view *view, const struct record_join *join,
                             guint64 offset);
void view_remove_node (struct view *view, struct handle h);
void view_adopt (struct view *view, struct view *fresh);
void view_config_accepted (struct view *view, guint64 offset, guint64 writer,
                           guint64 serial);

#endif
