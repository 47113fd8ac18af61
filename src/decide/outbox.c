#include "decide/outbox.h"

#include <string.h>

#define RESEND_AFTER_USEC                                                     \
  ((gint64)300000) /* before a refused append goes out                        \
                      again */

/* Set up an empty outbox for records of WRITER.  */
void
outbox_init (struct outbox *outbox, guint64 writer)
{
  outbox->writer = writer;
  outbox->serial = 0;
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
  struct outbox_item item = { .state = OUTBOX_FAILED, .since = G_MININT64 };

  item.record.version = RECORD_VERSION;
  item.record.kind = kind;
  item.record.writer = outbox->writer;
  item.record.serial = ++outbox->serial;
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

/* Append the records that are due.  */
void
outbox_send (struct outbox *outbox, gint64 now, struct actions *out)
{
  guint i;

  for (i = 0; i < outbox->items->len; i++)
    {
      struct outbox_item *item = item_at (outbox, i);
      if (item->state != OUTBOX_FAILED
          || (item->since != G_MININT64
              && now - item->since < RESEND_AFTER_USEC))
        continue;
      item->state = OUTBOX_SENT;
      item->since = now;
      record_copy (&actions_add (out, ACTION_APPEND)->u.append.record,
                   &item->record);
    }
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
outbox_on_appended (struct outbox *outbox, guint64 serial, enum err code,
                    gint64 now, struct actions *out)
{
  gint at = find_serial (outbox, serial);
  struct outbox_item *item;

  if (at < 0)
    return;
  item = item_at (outbox, (guint)at);
  item->since = now;
  switch (code)
    {
    case ERR_NONE:
      item->state = OUTBOX_APPENDED;
      break;
    case ERR_UNAVAILABLE:
    case ERR_REFUSED:
      item->state = OUTBOX_FAILED;
      break;
    default:
      item->state = OUTBOX_UNSURE;
      actions_add (out, ACTION_NOTE)->u.note.id = NOTE_APPEND_UNSURE;
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
  record_clear (&item_at (outbox, (guint)at)->record);
  g_array_remove_index (outbox->items, (guint)at);
}

/* The log was read to its tail by a read begun at BEGUN: an unsure append
   that failed before then and was not read back goes out again.  */
void
outbox_on_tail (struct outbox *outbox, gint64 begun, gint64 now,
                struct actions *out)
{
  guint i;

  for (i = 0; i < outbox->items->len; i++)
    {
      struct outbox_item *item = item_at (outbox, i);
      if (item->state == OUTBOX_UNSURE && item->since < begun)
        item->state = OUTBOX_FAILED;
    }
  outbox_send (outbox, now, out);
}
