#include "decide/outbox.h"

#include "decide/slice.h"

#include <string.h>

#define RESEND_MIN_USEC ((gint64)300000)   /* first wait after a refusal */
#define RESEND_MAX_USEC ((gint64)10000000) /* longest wait */
#define SENT_MAX 8u                        /* appends under way at once */

/* Set up an empty outbox for records of WRITER.  */
void
outbox_init (struct outbox *outbox, guint64 writer)
{
  outbox->writer = writer;
  outbox->last_serial = 0;
  outbox->sent_count = 0;
  outbox->items = g_array_new (FALSE, TRUE, sizeof (struct outbox_item));
}

/* The item at place I.  */
static struct outbox_item *
item_at (const struct outbox *outbox, guint i)
{
  return &g_array_index (outbox->items, struct outbox_item, i);
}

/* Release the records that are in OUTBOX.  */
void
outbox_clear (struct outbox *outbox)
{
  guint i;

  for (i = 0; i < outbox->items->len; i++)
    record_clear (&item_at (outbox, i)->record);
  g_array_free (outbox->items, TRUE);
  outbox->items = NULL;
}

/* Add a record of KIND with an empty body, to be filled in and then sent by
   outbox_send; good until the next addition.  */
struct record *
outbox_propose (struct outbox *outbox, enum record_kind kind)
{
  struct outbox_item item = { .state = OUTBOX_FAILED, .send_at = G_MININT64 };

  item.record.version = RECORD_VERSION;
  item.record.kind = kind;
  item.record.writer = outbox->writer;
  item.record.serial = ++outbox->last_serial;
  g_array_append_val (outbox->items, item);
  return &item_at (outbox, outbox->items->len - 1)->record;
}

/* Tell whether a record of KIND is on its way.  */
gboolean
outbox_has (const struct outbox *outbox, enum record_kind kind)
{
  guint i;

  for (i = 0; i < outbox->items->len; i++)
    if (item_at (outbox, i)->record.kind == kind)
      return TRUE;
  return FALSE;
}

/* Append the records that are due, as long as few are under way.  */
void
outbox_send (struct outbox *outbox, gint64 now, struct actions *out)
{
  guint i;

  for (i = 0; i < outbox->items->len && outbox->sent_count < SENT_MAX; i++)
    {
      struct outbox_item *item = item_at (outbox, i);
      if (item->state != OUTBOX_FAILED || now < item->send_at)
        continue;
      item->state = OUTBOX_SENT;
      item->state_since = now;
      outbox->sent_count++;
      record_copy (&actions_add (out, ACTION_APPEND)->u.append.record,
                   &item->record);
    }
}

/* Let a refused append wait: twice as long each time, and less a share of up
   to half that differs from node to node.  */
static void
wait_after_refusal (const struct outbox *outbox, struct outbox_item *item,
                    gint64 now)
{
  guint32 doublings = MIN (item->consecutive_refusals, 8);
  gint64 wait = MIN (RESEND_MIN_USEC << doublings, RESEND_MAX_USEC);
  guint64 rank = slice_rank (outbox->writer,
                             outbox->last_serial + item->consecutive_refusals);

  item->consecutive_refusals++;
  item->state = OUTBOX_FAILED;
  item->send_at = now + wait - (gint64)(rank % (guint64)(wait / 2));
}

/* The place of the record numbered SERIAL, or -1.  */
static gint
find_serial (const struct outbox *outbox, guint64 serial)
{
  guint i;

  for (i = 0; i < outbox->items->len; i++)
    if (item_at (outbox, i)->record.serial == serial)
      return (gint)i;
  return -1;
}

/* Take in how the append of SERIAL ended.  */
void
outbox_on_appended (struct outbox *outbox, const struct event_appended *event,
                    gint64 now, struct actions *out)
{
  gint at = find_serial (outbox, event->serial);
  struct outbox_item *item;

  if (at < 0 || item_at (outbox, (guint)at)->state != OUTBOX_SENT)
    return;
  item = item_at (outbox, (guint)at);
  item->state_since = now;
  outbox->sent_count--;
  switch (event->code)
    {
    case ERR_NONE:
      item->state = OUTBOX_APPENDED;
      item->offset = event->offset;
      break;
    case ERR_UNAVAILABLE:
    case ERR_REFUSED:
      wait_after_refusal (outbox, item, now);
      break;
    default:
      item->state = OUTBOX_UNSURE;
      actions_add (out, ACTION_LOG_EVENT)->u.log_event.id
          = LOG_EVENT_APPEND_UNSURE;
      break;
    }
}

/* Remove a record of this node that was read back from the log.  */
void
outbox_on_record (struct outbox *outbox, const struct record *record)
{
  gint at;

  if (record->writer != outbox->writer)
    return;
  at = find_serial (outbox, record->serial);
  if (at < 0)
    return;
  if (item_at (outbox, (guint)at)->state == OUTBOX_SENT)
    outbox->sent_count--;
  record_clear (&item_at (outbox, (guint)at)->record);
  g_array_remove_index (outbox->items, (guint)at);
}

/* Tell whether a read to the tail, begun at BEGUN and ended at NEXT, shows
   that ITEM is not on the log: an unsure append that failed before the read
   began, or one that was answered but does not stand where it should.  */
static gboolean
is_missing (const struct outbox_item *item, guint64 next, gint64 begun)
{
  if (item->state_since >= begun)
    return FALSE;
  return item->state == OUTBOX_UNSURE
         || (item->state == OUTBOX_APPENDED && item->offset < next);
}

/* The log was read to its tail, up to NEXT, by a read begun at BEGUN: what is
   missing from it goes out again.  */
void
outbox_on_log_end (struct outbox *outbox, guint64 next, gint64 begun,
                   gint64 now, struct actions *out)
{
  guint i;

  for (i = 0; i < outbox->items->len; i++)
    {
      struct outbox_item *item = item_at (outbox, i);
      if (!is_missing (item, next, begun))
        continue;
      item->state = OUTBOX_FAILED;
      item->send_at = now;
    }
  outbox_send (outbox, now, out);
}
