#include "edge/buffer.h"

/* Remove all bytes of BUFFER and free the memory that they took.  */
void
buffer_clear (GByteArray *buffer)
{
  g_free (g_byte_array_steal (buffer, NULL));
}

/* Remove the first LENGTH bytes of BUFFER.  Its memory is freed with the last
   byte.  */
void
buffer_consume (GByteArray *buffer, gsize length)
{
  if (length >= buffer->len)
    buffer_clear (buffer);
  else if (length > 0)
    g_byte_array_remove_range (buffer, 0, (guint)length);
}
