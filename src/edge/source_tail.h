#ifndef BAMBOOTALLY_SOURCE_TAIL_H
#define BAMBOOTALLY_SOURCE_TAIL_H

#include "edge/link.h"
#include "types/action.h"

/* Where a node reads records from when that is not the log: another node,
   which is asked again and again.  */

struct source_tail
{
  gboolean active;   /* records come from a peer */
  struct address to; /* where it listens */
  guint64 next;      /* offset wanted next */
  guint64 serial;    /* serial of the call under way or the last one */
  gboolean busy;     /* a call is under way */
  gint64 asked_at;   /* when it began, monotonic usec */
  gint64 ask_at;     /* when the next one is due */
  gint64 fresh_at;   /* this node's records reach the tail of that time */
};

struct node;

void source_tail_set (struct node *node, const struct action_read_log *action);
void source_tail_step (struct node *node, gint64 now);
void source_tail_call (struct node *node, const struct link_event *event);
void source_tail_reply (struct node *node, const struct link_event *event);

#endif
