#ifndef BAMBOOTALLY_WIRE_RECORD_H
#define BAMBOOTALLY_WIRE_RECORD_H

#include "types/event.h"
#include "types/record.h"
#include "types/err.h"
#include "wire/wire.h"

/* Records as bytes of the log.  The header says the version and the length of
   the body, so that a record of a later version can be passed over.  */

bool_t wire_join (XDR *xdr, struct record_join *body);
GByteArray *record_encode (const struct record *record);
enum err record_decode (struct record *record, const guint8 *bytes,
                        gsize length);

/* The framing of several records in one answer of the log: offset and length
   before each, both big-endian.  */
enum err record_decode_frames (GArray *entries, const guint8 *bytes,
                               gsize length);
void record_append_frame (GByteArray *to, guint64 offset, const guint8 *bytes,
                          guint32 length);
void log_entries_clear (GArray *entries);

#endif
