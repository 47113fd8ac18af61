#include "wire/wire.h"

#include <string.h>

/* A text in a buffer of SIZE bytes, with its final zero.  The buffer is part
   of its struct, so there is nothing to free.  */
bool_t
wire_fixed_string (XDR *xdr, char *text, gsize size)
{
  char *at = text;

  if (xdr->x_op == XDR_FREE)
    return TRUE;
  return xdr_string (xdr, &at, (u_int)size - 1);
}

/* A text of at most MAX bytes; decoding allocates it with malloc.  */
bool_t
wire_string (XDR *xdr, char **text, guint max)
{
  return xdr_string (xdr, text, max);
}

/* Bytes, at most MAX; decoding allocates them with malloc.  */
bool_t
wire_bytes (XDR *xdr, guint8 **bytes, guint32 *length, guint max)
{
  return xdr_bytes (xdr, (char **)bytes, length, max);
}

/* A flag.  */
bool_t
wire_bool (XDR *xdr, gboolean *flag)
{
  return xdr_bool (xdr, flag);
}

/* An unsigned number of 64 bits.  */
bool_t
wire_u64 (XDR *xdr, guint64 *value)
{
  return xdr_uint64_t (xdr, (uint64_t *)value);
}

/* A signed number of 64 bits.  */
bool_t
wire_i64 (XDR *xdr, gint64 *value)
{
  return xdr_int64_t (xdr, (int64_t *)value);
}

/* An address.  */
bool_t
wire_address (XDR *xdr, struct address *address)
{
  return xdr_uint32_t (xdr, &address->ip)
         && xdr_uint16_t (xdr, &address->port);
}

/* A fence.  */
bool_t
wire_fence (XDR *xdr, struct fence *fence)
{
  return wire_u64 (xdr, &fence->offset)
         && xdr_uint32_t (xdr, &fence->takeover_count);
}

/* A stamp.  */
bool_t
wire_stamp (XDR *xdr, struct stamp *stamp)
{
  return wire_u64 (xdr, &stamp->clock_incarnation)
         && wire_i64 (xdr, &stamp->time_usec)
         && wire_fence (xdr, &stamp->fence);
}

/* Encode ITEM by FILTER; free the bytes with g_byte_array_unref.  An item
   that takes more than MAX bytes gives NULL.  */
GByteArray *
wire_encode (wire_filter *filter, const void *item, guint max)
{
  XDR xdr;
  GByteArray *bytes = g_byte_array_new ();
  u_int size = (u_int)xdr_sizeof ((xdrproc_t)filter, (void *)item);
  bool_t done;

  if (size > max)
    {
      g_byte_array_unref (bytes);
      return NULL;
    }
  g_byte_array_set_size (bytes, size);
  xdrmem_create (&xdr, (char *)bytes->data, size, XDR_ENCODE);
  done = filter (&xdr, (void *)item);
  g_byte_array_set_size (bytes, xdr_getpos (&xdr));
  xdr_destroy (&xdr);
  if (done)
    return bytes;
  g_byte_array_unref (bytes);
  return NULL;
}

/* Decode LENGTH bytes into ITEM, which must be zero, by FILTER.  With
   ERR_MALFORMED what had been allocated is released again.  */
enum err
wire_decode (wire_filter *filter, void *item, const guint8 *bytes,
             gsize length)
{
  XDR xdr;
  bool_t done;

  xdrmem_create (&xdr, (char *)bytes, (u_int)length, XDR_DECODE);
  done = filter (&xdr, item);
  xdr_destroy (&xdr);
  if (done)
    return ERR_NONE;
  xdr_free ((xdrproc_t)filter, item);
  return ERR_MALFORMED;
}
