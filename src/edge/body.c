#include "edge/body.h"

/* Initialize an empty body.  */
void
body_init (struct body *body)
{
  body->bytes = g_byte_array_new ();
  body->at = 0;
  body->end = FALSE;
  body->replayable = TRUE;
}

/* Free the buffer of BODY.  */
void
body_clear (struct body *body)
{
  g_byte_array_unref (body->bytes);
  body->bytes = NULL;
}

/* Discard the bytes that were consumed; the body cannot be replayed after.  */
static void
drop_passed (struct body *body)
{
  if (body->at == 0)
    return;
  g_byte_array_remove_range (body->bytes, 0, (guint)body->at);
  body->at = 0;
  body->replayable = FALSE;
}

/* Append COUNT bytes.  Consumed bytes are discarded if the buffer would grow
   beyond BODY_QUEUE_BYTES.  */
void
body_add (struct body *body, const guint8 *bytes, gsize count)
{
  if (body->bytes->len + count > BODY_QUEUE_BYTES)
    drop_passed (body);
  g_byte_array_append (body->bytes, bytes, (guint)count);
}

/* Return the number of buffered bytes not consumed yet.  */
gsize
body_left (const struct body *body)
{
  return body->bytes->len - body->at;
}

/* Return the first byte not consumed yet.  */
const guint8 *
body_next (const struct body *body)
{
  return body->bytes->data + body->at;
}

/* Mark COUNT more bytes as consumed.  */
void
body_pass (struct body *body, gsize count)
{
  body->at += count;
  if (body->bytes->len >= BODY_QUEUE_BYTES)
    drop_passed (body);
}

/* Return TRUE if at least BODY_QUEUE_BYTES are buffered and not consumed.  */
gboolean
body_is_full (const struct body *body)
{
  return body_left (body) >= BODY_QUEUE_BYTES;
}

/* Return TRUE if the whole body was received and consumed.  */
gboolean
body_is_passed (const struct body *body)
{
  return body->end && body_left (body) == 0;
}

/* Start again at the first byte, which must not have been discarded.  */
void
body_rewind (struct body *body)
{
  g_assert (body->replayable);
  body->at = 0;
}
