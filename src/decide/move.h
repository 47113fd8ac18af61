#ifndef BAMBOOTALLY_MOVE_H
#define BAMBOOTALLY_MOVE_H

#include "types/action.h"
#include "types/event.h"
#include "types/view.h"

struct core;

/* Moves of slices from one owner to the next.  */

/* A move of one or more slices that this node gives up to one receiver.  */
struct move_give
{
  guint64 move;      /* offset of the move */
  struct handle to;  /* receiver; this node where only successors change */
  gboolean proposed; /* this node has proposed `moved' */
  guint64 serial;    /* serial of the last call to the receiver */
  gint64 next_send;  /* when the receiver is told again, monotonic usec */
};

/* A move that its owner said it has released, or that this node, its receiver,
   has declined since its owner is retired.  */
struct move_release
{
  guint64 owner;     /* incarnation that gave the slices up */
  guint64 move;      /* offset of the move */
  gboolean proposed; /* this node has proposed `moved' */
  gboolean declined; /* `released' comes too late for it */
};

/* An owner that waits to hear how far this node, a successor, has folded.  */
struct move_tell
{
  struct handle owner; /* the owner */
  guint64 move;        /* highest offset of its moves that concern this node */
  guint64 serial;      /* serial of the last call to it */
  guint64 told;        /* offset that the call told */
  guint64 acked;       /* offset that it has taken in */
  gint64 next_send;    /* when it is told again, monotonic usec */
};

struct moves
{
  guint64 seen;     /* offset of the view that PENDING was taken from */
  GArray *pending;  /* guint32 numbers of slices with moves that concern us */
  GArray *gives;    /* struct move_give */
  GArray *released; /* struct move_release */
  GArray *tells;    /* struct move_tell */
};

void moves_init (struct moves *moves);
void moves_clear (struct moves *moves);
void moves_step (struct core *core, gint64 now, struct actions *out);
const struct view_slice *moves_pending_at (const struct core *core, guint i,
                                           guint32 *number);
guint64 moves_limit (const struct core *core);
gboolean moves_was_released (const struct core *core,
                             const struct view_slice *slice);
void moves_on_released (struct core *core, const struct peer_released *call);
void moves_on_reply (struct core *core, const struct event_peer_reply *reply);
guint moves_in_flight (const struct core *core,
                       const struct view_service *service, guint32 slice);

#endif
