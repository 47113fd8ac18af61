#ifndef BAMBOOTALLY_BODY_H
#define BAMBOOTALLY_BODY_H

#include "types/limits.h"
#include <glib.h>

/* A body on its way through this process, held within BODY_QUEUE_BYTES.  It
   can be sent again from its start until its first bytes are dropped.  */

struct body
{
  GByteArray *bytes;    /* what is held */
  gsize read_offset;    /* first byte not passed on yet */
  gboolean is_complete; /* nothing more will be added */
  gboolean replayable;  /* the first byte is still held */
};

void body_init (struct body *body);
void body_clear (struct body *body);
void body_append (struct body *body, const guint8 *bytes, gsize count);
gsize body_remaining (const struct body *body);
const guint8 *body_data (const struct body *body);
void body_consume (struct body *body, gsize count);
gboolean body_is_full (const struct body *body);
gboolean body_is_consumed (const struct body *body);
void body_rewind (struct body *body);

#endif
