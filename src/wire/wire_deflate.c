#include "wire/wire_deflate.h"

#include <gio/gio.h>

/* The text of a configuration repeats itself in each row: the fastest level
   takes most of it.  */
#define DEFLATE_LEVEL 1

/* Pass LENGTH BYTES through CONVERTER.  Return the result, or NULL if the
   bytes are not valid or the result is longer than MAX bytes.  Free it with
   g_byte_array_unref.  The buffer has a byte more, since the end of the input
   may only be found where there is room.  */
static GByteArray *
convert (GConverter *converter, const guint8 *bytes, gsize length, gsize max)
{
  GByteArray *to = g_byte_array_new ();
  GConverterResult result = G_CONVERTER_CONVERTED;
  gsize from = 0;
  gsize written = 0;

  g_byte_array_set_size (to, (guint)max + 1);
  while (result == G_CONVERTER_CONVERTED && written <= max)
    {
      gsize count_read = 0;
      gsize count_written = 0;
      result = g_converter_convert (converter, bytes + from, length - from,
                                    to->data + written, max + 1 - written,
                                    G_CONVERTER_INPUT_AT_END, &count_read,
                                    &count_written, NULL);
      from += count_read;
      written += count_written;
    }
  g_byte_array_set_size (to, (guint)written);
  if (result == G_CONVERTER_FINISHED && from == length && written <= max)
    return to;
  g_byte_array_unref (to);
  return NULL;
}

/* Return LENGTH BYTES compressed as by RFC 1951, or NULL if they do not become
   shorter.  Free the result with g_byte_array_unref.  */
GByteArray *
wire_deflate (const guint8 *bytes, gsize length)
{
  GZlibCompressor *compressor
      = g_zlib_compressor_new (G_ZLIB_COMPRESSOR_FORMAT_RAW, DEFLATE_LEVEL);
  GByteArray *to = convert (G_CONVERTER (compressor), bytes, length, length);

  g_object_unref (compressor);
  return to;
}

/* Return what wire_deflate made LENGTH BYTES from, which was PLAIN_LENGTH
   bytes long; NULL if they are not valid or do not yield as many.  Free the
   result with g_byte_array_unref.  */
GByteArray *
wire_inflate (const guint8 *bytes, gsize length, gsize plain_length)
{
  GZlibDecompressor *decompressor
      = g_zlib_decompressor_new (G_ZLIB_COMPRESSOR_FORMAT_RAW);
  GByteArray *to
      = convert (G_CONVERTER (decompressor), bytes, length, plain_length);

  g_object_unref (decompressor);
  if (to == NULL || to->len == plain_length)
    return to;
  g_byte_array_unref (to);
  return NULL;
}
