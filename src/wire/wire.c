#include "wire/wire.h"

#include <string.h>

/* XDR filter for a text in a buffer of SIZE bytes, final zero included.  The
   buffer is part of its struct, so nothing is freed.  */
bool_t
wire_fixed_string (XDR *xdr, char *text, gsize size)
{
  char *at = text;

  if (xdr->x_op == XDR_FREE)
    return TRUE;
  return xdr_string (xdr, &at, (u_int)size - 1);
}

/* XDR filter for a name that is kept as an interned text.  */
bool_t
wire_interned_name (XDR *xdr, const char **name)
{
  char buffer[NAME_SIZE];

  if (xdr->x_op == XDR_ENCODE)
    g_strlcpy (buffer, *name, sizeof buffer);
  if (!wire_fixed_string (xdr, buffer, sizeof buffer))
    return FALSE;
  if (xdr->x_op == XDR_DECODE)
    *name = g_intern_string (buffer);
  return TRUE;
}

/* XDR filter for a text of at most MAX bytes.  Decoding allocates it with
   malloc.  */
bool_t
wire_string (XDR *xdr, char **text, guint max)
{
  return xdr_string (xdr, text, max);
}

/* XDR filter for at most MAX bytes.  Decoding allocates them with malloc.  */
bool_t
wire_bytes (XDR *xdr, guint8 **bytes, guint32 *length, guint max)
{
  return xdr_bytes (xdr, (char **)bytes, length, max);
}

/* XDR filter for a boolean.  */
bool_t
wire_bool (XDR *xdr, gboolean *flag)
{
  return xdr_bool (xdr, flag);
}

/* XDR filter for an unsigned 64-bit number.  */
bool_t
wire_u64 (XDR *xdr, guint64 *value)
{
  return xdr_uint64_t (xdr, (uint64_t *)value);
}

/* XDR filter for a signed 64-bit number.  */
bool_t
wire_i64 (XDR *xdr, gint64 *value)
{
  return xdr_int64_t (xdr, (int64_t *)value);
}

/* XDR filter for an address.  */
bool_t
wire_address (XDR *xdr, struct address *address)
{
  return xdr_uint32_t (xdr, &address->ip)
         && xdr_uint16_t (xdr, &address->port);
}

/* XDR filter for a fence.  */
bool_t
wire_fence (XDR *xdr, struct fence *fence)
{
  return wire_u64 (xdr, &fence->offset)
         && xdr_uint32_t (xdr, &fence->takeover_count);
}

/* XDR filter for a stamp.  */
bool_t
wire_stamp (XDR *xdr, struct stamp *stamp)
{
  return wire_u64 (xdr, &stamp->clock_incarnation)
         && wire_i64 (xdr, &stamp->time_usec)
         && wire_fence (xdr, &stamp->fence);
}

/* Encode ITEM by FILTER.  Return NULL if the encoding fails or exceeds MAX
   bytes.  Free the bytes with g_byte_array_unref.  */
GByteArray *
wire_encode (wire_filter *filter, const void *item, guint max)
{
  XDR xdr;
  GByteArray *bytes = g_byte_array_new ();
  u_int size = (u_int)xdr_sizeof ((xdrproc_t)filter, (void *)item);
  bool_t encoded;

  if (size > max)
    {
      g_byte_array_unref (bytes);
      return NULL;
    }
  g_byte_array_set_size (bytes, size);
  xdrmem_create (&xdr, (char *)bytes->data, size, XDR_ENCODE);
  encoded = filter (&xdr, (void *)item);
  g_byte_array_set_size (bytes, xdr_getpos (&xdr));
  xdr_destroy (&xdr);
  if (encoded)
    return bytes;
  g_byte_array_unref (bytes);
  return NULL;
}

/* Decode LENGTH bytes into ITEM, which must be zero, by FILTER.  On
   ERR_MALFORMED all allocated memory is released.  */
enum err
wire_decode (wire_filter *filter, void *item, const guint8 *bytes,
             gsize length)
{
  XDR xdr;
  bool_t decoded;

  xdrmem_create (&xdr, (char *)bytes, (u_int)length, XDR_DECODE);
  decoded = filter (&xdr, item);
  xdr_destroy (&xdr);
  if (decoded)
    return ERR_NONE;
  xdr_free ((xdrproc_t)filter, item);
  return ERR_MALFORMED;
}
