#include "decide/outbox.h"

#include "decide/slice.h"

#include <string.h>

#define RESEND_MIN_USEC ((gint64)300000)   /* first wait after a refusal */
#define RESEND_MAX_USEC ((gint64)10000000) /* longest wait after a refusal */
#define IN_FLIGHT_MAX 8u /* appends without an answer at the same time */

/* Set up an empty outbox for records of WRITER.  */
void
outbox_init (struct outbox *outbox, guint64 writer)
{
  outbox->writer = writer;
  outbox->last_serial = 0;
  outbox->sent_count = 0;
  outbox->items = g_array_new (FALSE, TRUE, sizeof (struct outbox_item));
}

/* Return the item at index I.  */
static struct outbox_item *
item_at (const struct outbox *outbox, guint i)
{
  return &g_array_index (outbox->items, struct outbox_item, i);
}

/* Release the records in OUTBOX.  */
void
outbox_clear (struct outbox *outbox)
{
  guint i;

  for (i = 0; i < outbox->items->len; i++)
    record_clear (&item_at (outbox, i)->record);
  g_array_free (outbox->items, TRUE);
  outbox->items = NULL;
}

/* Add a record of KIND with an empty body, which the caller fills in;
   outbox_send sends it.  The pointer is valid until the next addition.  */
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

/* Tell whether a record of KIND is in the outbox.  */
gboolean
outbox_has (const struct outbox *outbox, enum record_kind kind)
{
  guint i;

  for (i = 0; i < outbox->items->len; i++)
    if (item_at (outbox, i)->record.kind == kind)
      return TRUE;
  return FALSE;
}

/* Append the records that are due, up to the limit of appends without an
   answer.  */
void
outbox_send (struct outbox *outbox, gint64 now, struct actions *out)
{
  guint i;

  for (i = 0; i < outbox->items->len && outbox->sent_count < IN_FLIGHT_MAX;
       i++)
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

/* Delay a refused append: twice as long after each refusal, shortened by up to
   half by an amount that differs between nodes.  */
static void
back_off (const struct outbox *outbox, struct outbox_item *item, gint64 now)
{
  guint32 doublings = MIN (item->consecutive_refusals, 8);
  gint64 wait = MIN (RESEND_MIN_USEC << doublings, RESEND_MAX_USEC);
  guint64 rank = slice_rank (outbox->writer,
                             outbox->last_serial + item->consecutive_refusals);

  item->consecutive_refusals++;
  item->state = OUTBOX_FAILED;
  item->send_at = now + wait - (gint64)(rank % (guint64)(wait / 2));
}

/* Return the index of the record with SERIAL, or -1.  */
static gint
find_serial (const struct outbox *outbox, guint64 serial)
{
  guint i;

  for (i = 0; i < outbox->items->len; i++)
    if (item_at (outbox, i)->record.serial == serial)
      return (gint)i;
  return -1;
}

/* Process the result EVENT of an append.  */
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
      back_off (outbox, item, now);
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

/* Tell whether a read to the end of the log, started at STARTED_AT and ended
   at NEXT, proves that ITEM is not on the log: an append with unknown result
   that ended before the read began, or one that was answered but does not
   stand at its offset.  */
static gboolean
is_missing (const struct outbox_item *item, guint64 next, gint64 started_at)
{
  if (item->state_since >= started_at)
    return FALSE;
  return item->state == OUTBOX_UNSURE
         || (item->state == OUTBOX_APPENDED && item->offset < next);
}

/* Send the records again that a read to the end of the log, started at
   STARTED_AT and ended at NEXT, proved to be missing.  */
void
outbox_on_log_end (struct outbox *outbox, guint64 next, gint64 started_at,
                   gint64 now, struct actions *out)
{
  guint i;

  for (i = 0; i < outbox->items->len; i++)
    {
      struct outbox_item *item = item_at (outbox, i);
      if (!is_missing (item, next, started_at))
        continue;
      item->state = OUTBOX_FAILED;
      item->send_at = now;
    }
  outbox_send (outbox, now, out);
}
