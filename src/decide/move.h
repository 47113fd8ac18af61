#ifndef BAMBOOTALLY_MOVE_H
#define BAMBOOTALLY_MOVE_H

#include "types/action.h"
#include "types/event.h"
#include "types/view.h"

struct core;

/* Moves of slices from one owner to the next.  */

/* A move of one or more slices that this node gives up to one receiver.  */
struct move_handoff
{
  guint64 move_offset; /* offset of the move */
  struct handle
      receiver; /* receiver; this node where only successors change */
  gboolean moved_proposed; /* this node has proposed `moved' */
  guint64 call_serial;     /* serial of the last call to the receiver */
  gint64 next_call_at; /* when the receiver is told again, monotonic usec */
};

/* A move that its owner said it has released, or that this node, its receiver,
   has declined since its owner is retired.  */
struct move_release
{
  guint64 owner;           /* incarnation that gave the slices up */
  guint64 move_offset;     /* offset of the move */
  gboolean moved_proposed; /* this node has proposed `moved' */
  gboolean is_declined;    /* `released' comes too late for it */
};

/* An owner that waits to hear how far this node, a successor, has folded.  */
struct move_report
{
  struct handle owner; /* the owner */
  guint64 move_offset; /* highest offset of its moves that concern this node */
  guint64 call_serial; /* serial of the last call to it */
  guint64 sent_offset; /* offset that the call told */
  guint64 acked_offset; /* offset that it has taken in */
  gint64 next_call_at;  /* when it is told again, monotonic usec */
};

struct moves
{
  guint64 view_offset;    /* offset of the view that PENDING was taken from */
  GArray *pending_slices; /* guint32 numbers of slices with moves that concern
                             us */
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
