#ifndef BAMBOOTALLY_WIRE_H
#define BAMBOOTALLY_WIRE_H

#include "types/address.h"
#include "types/err.h"
#include "types/fence.h"
#include "types/request.h"

#include <rpc/rpc.h>

/* XDR filters for types that several messages share, and functions that encode
   and decode by a filter.  Filters return FALSE for bytes that cannot be
   decoded.  */

typedef bool_t wire_filter (XDR *xdr, void *item);

bool_t wire_fixed_string (XDR *xdr, char *text, gsize size);
bool_t wire_interned_name (XDR *xdr, const char **name);
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
