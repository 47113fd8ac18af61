#ifndef BAMBOOTALLY_PEER_READER_H
#define BAMBOOTALLY_PEER_READER_H

#include "edge/link.h"
#include "types/action.h"

/* Reads the records of the log from another node by repeated calls, so that
   not every node reads from the log service; also serves such calls.  */

struct peer_reader
{
  gboolean is_active;          /* records are read from a peer, not the log */
  struct address peer_address; /* address of the peer */
  guint64 next_offset;         /* offset of the next record to read */
  guint64 call_serial; /* serial of the pending call, or of the last one */
  gboolean is_call_pending; /* a call has not been answered yet */
  gint64 call_started_at;   /* when the last call was made, monotonic usec */
  gint64 next_call_at;      /* when the next call is due, monotonic usec */
  gint64 up_to_date_at;     /* when the records read reached the end of the
                               log, monotonic usec */
};

struct node;

void peer_reader_set_source (struct node *node,
                             const struct action_read_log *action);
void peer_reader_step (struct node *node, gint64 now);
void peer_reader_on_call (struct node *node, const struct link_event *event);
void peer_reader_on_reply (struct node *node, const struct link_event *event);

#endif
