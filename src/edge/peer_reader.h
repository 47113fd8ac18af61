#ifndef BAMBOOTALLY_PEER_READER_H
#define BAMBOOTALLY_PEER_READER_H

#include "edge/link.h"
#include "types/action.h"

/* Where a node reads records from when that is not the log: another node,
   which is asked again and again.  */

struct peer_reader
{
  gboolean is_active;          /* records come from a peer */
  struct address peer_address; /* where it listens */
  guint64 next_offset;         /* offset wanted next */
  guint64 call_serial;      /* serial of the call under way or the last one */
  gboolean is_call_pending; /* a call is under way */
  gint64 call_started_at;   /* when it began, monotonic usec */
  gint64 next_call_at;      /* when the next one is due */
  gint64 up_to_date_at; /* this node's records reach the tail of that time */
};

struct node;

void peer_reader_set_source (struct node *node,
                             const struct action_read_log *action);
void peer_reader_step (struct node *node, gint64 now);
void peer_reader_on_call (struct node *node, const struct link_event *event);
void peer_reader_on_reply (struct node *node, const struct link_event *event);

#endif
