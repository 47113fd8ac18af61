#ifndef BAMBOOTALLY_WIRE_H
#define BAMBOOTALLY_WIRE_H

#include "types/address.h"
#include "types/err.h"
#include "types/fence.h"
#include "types/request.h"

#include <rpc/rpc.h>

/* XDR for the plain types that several messages hold, and the way from a
   filter to bytes and back.  Filters return FALSE on bytes that do not
   decode.  */

typedef bool_t wire_filter (XDR *xdr, void *item);

bool_t wire_fixed_string (XDR *xdr, char *text, gsize size);
bool_t wire_string (XDR *xdr, char **text, guint max);
bool_t wire_bytes (XDR *xdr, guint8 **bytes, guint32 *length, guint max);
bool_t wire_bool (XDR *xdr, gboolean *flag);
bool_t wire_u64 (XDR *xdr, guint64 *value);
bool_t wire_i64 (XDR *xdr, gint64 *value);
bool_t wire_address (XDR *xdr, struct address *address);
bool_t wire_fence (XDR *xdr, struct fence *fence);
bool_t wire_stamp (XDR *xdr, struct stamp *stamp);
GByteArray *wire_encode (wire_filter *filter, const void *item, guint max);
enum err wire_decode (wire_filter *filter, void *item, const guint8 *bytes,
                      gsize length);

#endif
