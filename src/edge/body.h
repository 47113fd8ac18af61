#ifndef BAMBOOTALLY_BODY_H
#define BAMBOOTALLY_BODY_H

#include "types/handle.h"
#include "types/limits.h"

#include <glib.h>

/* Buffer for a request or response body in transit, limited to
   BODY_QUEUE_BYTES.  The body can be replayed from its start until its first
   bytes are discarded.  */

struct body
{
  GByteArray *bytes;    /* buffered part of the body */
  gsize read_offset;    /* position in bytes of the first byte not consumed */
  gboolean is_complete; /* the last byte of the body was appended */
  gboolean replayable;  /* the first byte of the body is still in the buffer */
  guint64 appended_bytes; /* bytes appended so far */
  guint64 dropped_bytes;  /* bytes dropped so far */
  struct handle holder;   /* what counts the buffered bytes, or HANDLE_NONE */
};

void body_init (struct body *body);
void body_clear (struct body *body);
void body_reset (struct body *body);
void body_set_holder (struct body *body, struct handle holder);
void body_append (struct body *body, const guint8 *bytes, gsize count);
void body_drop (struct body *body, gsize count);
gboolean body_is_cut (const struct body *body);
gsize body_remaining (const struct body *body);
const guint8 *body_data (const struct body *body);
void body_consume (struct body *body, gsize count);
void body_pass_on (struct body *body, gsize count);
gboolean body_is_full (const struct body *body);
gboolean body_is_consumed (const struct body *body);
gboolean body_rewind (struct body *body);

#endif
