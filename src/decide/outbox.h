#ifndef BAMBOOTALLY_OUTBOX_H
#define BAMBOOTALLY_OUTBOX_H

#include "types/action.h"
#include "types/event.h"

/* Records that this node has proposed and not yet read back.  An append whose
   answer was lost is found again by its serial when it is read.  A record may
   go out twice; the fold drops the repeat.  Few are under way at once, and
   refused ones wait longer each time, as the log takes only several hundred
   appends a second from the whole fleet.  */

/* How far an append has come.  */
enum outbox_state
{
  OUTBOX_SENT,     /* no answer yet */
  OUTBOX_APPENDED, /* on the log, not yet read back */
  OUTBOX_FAILED,   /* not on the log; it goes out at send_at */
  OUTBOX_UNSURE    /* it may be on the log; a read will tell */
};

struct outbox_item
{
  struct record record;         /* what was proposed */
  enum outbox_state state;      /* how far it is */
  gint64 state_since;           /* when the state began, monotonic usec */
  gint64 send_at;               /* FAILED: when it goes out, monotonic usec */
  guint64 offset;               /* APPENDED: where it stands */
  guint32 consecutive_refusals; /* times it was refused, in a row */
};

struct outbox
{
  guint64 writer;      /* incarnation of this node */
  guint64 last_serial; /* serial of the last record */
  guint32 sent_count;  /* items in OUTBOX_SENT */
  GArray *items;       /* struct outbox_item */
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
void outbox_on_log_end (struct outbox *outbox, guint64 next, gint64 begun,
                        gint64 now, struct actions *out);

#endif
