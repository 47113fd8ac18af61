#include "edge/body.h"

#include "edge/buffer.h"
#include "edge/held_bytes.h"

/* Initialize an empty body.  */
void
body_init (struct body *body)
{
  body->bytes = g_byte_array_new ();
  body->read_offset = 0;
  body->is_complete = FALSE;
  body->replayable = TRUE;
  body->appended_bytes = 0;
  body->dropped_bytes = 0;
  body->holder = HANDLE_NONE;
}

/* Free the buffer of BODY.  */
void
body_clear (struct body *body)
{
  held_bytes_charge (body->holder, -(gint64)body->bytes->len);
  g_byte_array_unref (body->bytes);
  body->bytes = NULL;
}

/* Empty BODY, for another one that the same holder counts.  */
void
body_reset (struct body *body)
{
  struct handle holder = body->holder;

  body_clear (body);
  body_init (body);
  body->holder = holder;
}

/* Have HOLDER count the buffered bytes of BODY.  */
void
body_set_holder (struct body *body, struct handle holder)
{
  held_bytes_charge (body->holder, -(gint64)body->bytes->len);
  body->holder = holder;
  held_bytes_charge (holder, (gint64)body->bytes->len);
}

/* Discard the bytes that were consumed; the body cannot be replayed after.  */
static void
discard_consumed (struct body *body)
{
  if (body->read_offset == 0)
    return;
  held_bytes_charge (body->holder, -(gint64)body->read_offset);
  buffer_consume (body->bytes, body->read_offset);
  body->read_offset = 0;
  body->replayable = FALSE;
}

/* Append COUNT bytes.  Consumed bytes are discarded if the buffer would grow
   beyond BODY_QUEUE_BYTES.  */
void
body_append (struct body *body, const guint8 *bytes, gsize count)
{
  if (body->bytes->len + count > BODY_QUEUE_BYTES)
    discard_consumed (body);
  g_byte_array_append (body->bytes, bytes, (guint)count);
  held_bytes_charge (body->holder, (gint64)count);
  body->appended_bytes += count;
}

/* Record that COUNT bytes were dropped which were to be appended.  The body
   can be neither replayed nor sent to its end.  */
void
body_drop (struct body *body, gsize count)
{
  body->dropped_bytes += count;
  body->replayable = FALSE;
}

/* Return whether bytes of the body were dropped.  */
gboolean
body_is_cut (const struct body *body)
{
  return body->dropped_bytes > 0;
}

/* Return the number of buffered bytes not consumed yet.  */
gsize
body_remaining (const struct body *body)
{
  return body->bytes->len - body->read_offset;
}

/* Return the first byte not consumed yet.  */
const guint8 *
body_data (const struct body *body)
{
  return body->bytes->data + body->read_offset;
}

/* Mark COUNT more bytes as consumed.  */
void
body_consume (struct body *body, gsize count)
{
  body->read_offset += count;
  if (body->bytes->len >= BODY_QUEUE_BYTES)
    discard_consumed (body);
}

/* Mark COUNT more bytes as consumed, and discard all that was consumed: the
   body is not replayed.  */
void
body_pass_on (struct body *body, gsize count)
{
  body->read_offset += count;
  discard_consumed (body);
}

/* Return TRUE if at least BODY_QUEUE_BYTES are buffered and not consumed.  */
gboolean
body_is_full (const struct body *body)
{
  return body_remaining (body) >= BODY_QUEUE_BYTES;
}

/* Return TRUE if the whole body was received and consumed.  */
gboolean
body_is_consumed (const struct body *body)
{
  return body->is_complete && !body_is_cut (body)
         && body_remaining (body) == 0;
}

/* Start again at the first byte.  Return FALSE if it was discarded.  */
gboolean
body_rewind (struct body *body)
{
  if (!body->replayable)
    return FALSE;
  body->read_offset = 0;
  return TRUE;
}
