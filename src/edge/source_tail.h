#ifndef BAMBOOTALLY_SOURCE_TAIL_H
#define BAMBOOTALLY_SOURCE_TAIL_H

#include "edge/link.h"
#include "types/action.h"

/* Reads the records of the log from another node by repeated calls, so that
   not every node reads from the log service; also serves such calls.  */

struct source_tail
{
  gboolean active;   /* records are read from a peer, not from the log */
  struct address to; /* address of the peer */
  guint64 next;      /* offset of the next record to read */
  guint64 serial;    /* serial of the pending call or of the last one */
  gboolean busy;     /* a call has not been answered yet */
  gint64 asked_at;   /* when the last call was made, monotonic usec */
  gint64 ask_at;     /* when the next call is due, monotonic usec */
  gint64 fresh_at;   /* when the records read reached the end of the log,
                          monotonic usec */
};

struct node;

void source_tail_set (struct node *node, const struct action_read_log *action);
void source_tail_step (struct node *node, gint64 now);
void source_tail_call (struct node *node, const struct link_event *event);
void source_tail_reply (struct node *node, const struct link_event *event);

#endif
