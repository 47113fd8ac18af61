#include "edge/body.h"

/* Set up an empty body.  */
void
body_init (struct body *body)
{
  body->bytes = g_byte_array_new ();
  body->read_offset = 0;
  body->is_complete = FALSE;
  body->replayable = TRUE;
}

/* Release what BODY holds.  */
void
body_clear (struct body *body)
{
  g_byte_array_unref (body->bytes);
  body->bytes = NULL;
}

/* Drop the bytes that were passed on.  */
static void
drop_passed (struct body *body)
{
  if (body->read_offset == 0)
    return;
  g_byte_array_remove_range (body->bytes, 0, (guint)body->read_offset);
  body->read_offset = 0;
  body->replayable = FALSE;
}

/* Add COUNT bytes.  */
void
body_append (struct body *body, const guint8 *bytes, gsize count)
{
  if (body->bytes->len + count > BODY_QUEUE_BYTES)
    drop_passed (body);
  g_byte_array_append (body->bytes, bytes, (guint)count);
}

/* Bytes that are held and not passed on yet.  */
gsize
body_remaining (const struct body *body)
{
  return body->bytes->len - body->read_offset;
}

/* The first byte not passed on yet.  */
const guint8 *
body_data (const struct body *body)
{
  return body->bytes->data + body->read_offset;
}

/* Note that COUNT more bytes were passed on.  */
void
body_consume (struct body *body, gsize count)
{
  body->read_offset += count;
  if (body->bytes->len >= BODY_QUEUE_BYTES)
    drop_passed (body);
}

/* Tell whether no more should be added for now.  */
gboolean
body_is_full (const struct body *body)
{
  return body_remaining (body) >= BODY_QUEUE_BYTES;
}

/* Tell whether the whole body was passed on.  */
gboolean
body_is_consumed (const struct body *body)
{
  return body->is_complete && body_remaining (body) == 0;
}

/* Go back to the first byte, which must still be held.  */
void
body_rewind (struct body *body)
{
  g_assert (body->replayable);
  body->read_offset = 0;
}
