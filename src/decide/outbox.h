#ifndef BAMBOOTALLY_OUTBOX_H
#define BAMBOOTALLY_OUTBOX_H

#include "types/action.h"
#include "types/event.h"

/* Records that this node has proposed and not yet read back from the log.  An
   append whose answer was lost is recognised by its serial when it is read.  A
   record may be appended twice; applying the second copy has no effect.  Only
   a few appends run at once, and refused ones wait longer each time, because
   the log accepts only several hundred appends a second from the whole
   fleet.  */

/* Progress of an append.  */
enum outbox_state
{
  OUTBOX_SENT,     /* the append was sent; no answer yet */
  OUTBOX_APPENDED, /* on the log, not yet read back */
  OUTBOX_FAILED,   /* not on the log; sent at send_at */
  OUTBOX_UNSURE    /* may be on the log; a read will show */
};

struct outbox_item
{
  struct record record;    /* the proposed record */
  enum outbox_state state; /* progress of the append of the record */
  gint64 state_since;      /* when the state began, monotonic usec */
  gint64 send_at; /* FAILED: when the record is sent, monotonic usec */
  guint64 offset; /* APPENDED: offset of the record on the log */
  guint32 consecutive_refusals; /* refusals since the last success */
};

struct outbox
{
  guint64 writer;      /* incarnation of this node */
  guint64 last_serial; /* serial of the last proposed record */
  guint32 sent_count;  /* items in OUTBOX_SENT */
  GArray *items;       /* struct outbox_item, in order of serial */
};

void outbox_init (struct outbox *outbox, guint64 writer);
void outbox_clear (struct outbox *outbox);
struct record *outbox_propose (struct outbox *outbox, enum record_kind kind);
void outbox_send (struct outbox *outbox, gint64 now, struct actions *out);
gboolean outbox_has (const struct outbox *outbox, enum record_kind kind);
void outbox_on_appended (struct outbox *outbox,
                         const struct event_appended *event, gint64 now,
                         struct actions *out);
void outbox_on_record (struct outbox *outbox, const struct record *record);
void outbox_on_log_end (struct outbox *outbox, guint64 next, gint64 started_at,
                        gint64 now, struct actions *out);

#endif
