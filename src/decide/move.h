#ifndef BAMBOOTALLY_MOVE_H
#define BAMBOOTALLY_MOVE_H

#include "types/action.h"
#include "types/event.h"
#include "types/view.h"

struct core;

/* Moves of slices from their owner to a receiver.  The owner hands a slice off
   once its successors have applied the record of the move, drains it, releases
   it to the receiver, and the receiver records that it has begun to serve.  */

/* Handoff of one or more slices that this node owns to one receiver by one
   move.  */
struct move_handoff
{
  guint64 move_offset;     /* offset of the record of the move */
  struct handle receiver;  /* receiver of the slices; this node where only the
                              successors change */
  gboolean moved_proposed; /* this node has proposed `moved' */
  guint64 call_serial;     /* serial of the last call to the receiver */
  gint64 next_call_at; /* when the receiver is told again that the slices are
                          released, monotonic usec */
};

/* A move to this node that its owner has released, or that this node has
   declined because the owner is replaced.  */
struct move_release
{
  guint64 owner;           /* incarnation of the node that owned the slices */
  guint64 move_offset;     /* offset of the record of the move */
  gboolean moved_proposed; /* this node has proposed `moved' */
  gboolean is_declined;    /* whether the move is declined, so that a later
                              `released' has no effect */
};

/* Report to an owner how far this node, as a successor, has applied the log.
   The owner waits for it before it begins a handoff.  */
struct move_report
{
  struct handle owner;  /* owner that waits for the report */
  guint64 move_offset;  /* highest offset of the owner's moves of slices that
                           this node is a successor of */
  guint64 call_serial;  /* serial of the last call to the owner */
  guint64 sent_offset;  /* applied offset in the last call */
  guint64 acked_offset; /* highest applied offset that the owner has
                           acknowledged */
  gint64 next_call_at;  /* when the owner is told again, monotonic usec */
};

struct moves
{
  guint64 view_offset;    /* applied offset of the view when PENDING_SLICES was
                             computed */
  GArray *pending_slices; /* guint32 numbers of the slices with moves that this
                             node takes part in */
  GArray *handoffs;       /* struct move_handoff */
  GArray *releases;       /* struct move_release */
  GArray *reports;        /* struct move_report */
};

void moves_init (struct moves *moves);
void moves_clear (struct moves *moves);
void moves_step (struct core *core, gint64 now, struct actions *out);
const struct view_slice *moves_pending_slice (const struct core *core, guint i,
                                              guint32 *number);
guint64 moves_handoff_limit (const struct core *core);
gboolean moves_was_released (const struct core *core,
                             const struct view_slice *slice);
void moves_on_released (struct core *core, const struct peer_released *call);
void moves_on_reply (struct core *core, const struct event_peer_reply *reply);
guint moves_count_in_flight (const struct core *core,
                             const struct view_service *service,
                             guint32 slice);

#endif
